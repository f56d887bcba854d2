/**
 * The records that standlink keeps in the platform's log, and the folds over them.
 *
 * <p>A fold is a pure function of the log's order. Every process that has folded the same prefix
 * holds the same state, so racing writers are settled the same way everywhere.
 */
package org.standlink.log;
