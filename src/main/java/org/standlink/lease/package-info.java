/** Monotonic clocks and leases. */
package org.standlink.lease;
