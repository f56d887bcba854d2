/**
 * Policies for routing, admission, placement, relief and worker health.
 *
 * <p>All classes are deterministic, read no clock and do no I/O: times and random numbers are
 * passed in. Each interface has a simple baseline in addition to the implementation in use, and the
 * benchmark compares the two.
 */
package org.standlink.policy;
