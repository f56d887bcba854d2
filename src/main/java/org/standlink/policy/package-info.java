/**
 * The decisions: routing, admission, placement, relief and health.
 *
 * <p>Everything here is deterministic, has no clock and does no I/O: time and random numbers are
 * handed in. Each interface has a plain baseline beside the implementation in use, and the
 * benchmark measures one against the other.
 */
package org.standlink.policy;
