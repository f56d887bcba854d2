/**
 * The leader of a cell for submitted jobs: its state, how the state is stored, and which runs are
 * placed on which workers.
 *
 * <p>Everything happens on one thread, the leader's event loop. A change takes effect outside the
 * process only after its record is durable.
 */
package org.standlink.cell;
