/**
 * The leader role: one agent of each cell grants node leases, assigns tasks and distributes
 * bundles.
 *
 * <p>{@link org.standlink.leader.BundleCellLeader} and {@link org.standlink.leader.CellPlanner}
 * hold the logic and have neither threads nor I/O; {@link org.standlink.leader.LeaderService} has
 * both.
 */
package org.standlink.leader;
