/** Clocks and leases: who may act until when. */
package org.standlink.lease;
