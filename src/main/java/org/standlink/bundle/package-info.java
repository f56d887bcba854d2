/**
 * The bundle by which operators drive standlink: its model, checks, signatures and fold.
 *
 * <p>A bundle is accepted by a pure fold over the log, so every process accepts the same versions.
 */
package org.standlink.bundle;
