/**
 * The immutable value types that all other packages use: identifiers, resources, outcomes and
 * errors.
 */
package org.standlink;
