/** The immutable value types that every other package uses: ids, amounts, outcomes and errors. */
package org.standlink;
