/**
 * The bundle, which is the operators' configuration: its model, validation, signatures and
 * acceptance.
 *
 * <p>Which bundles are accepted is a pure function (a fold) of the log, so every process accepts
 * the same versions.
 */
package org.standlink.bundle;
