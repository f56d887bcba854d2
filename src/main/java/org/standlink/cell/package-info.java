/**
 * The leader of a cell for submitted jobs: its state, how it is kept in the store, and what runs
 * where.
 *
 * <p>Everything happens on one thread, the leader's loop. A change takes effect outside only after
 * the record of it was kept.
 */
package org.standlink.cell;
