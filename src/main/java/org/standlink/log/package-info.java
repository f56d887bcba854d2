/**
 * The records that standlink stores in the platform's log, and the folds over them.
 *
 * <p>A fold is a pure function of the order of the log. Every process that has folded the same
 * prefix has the same state, so that races between writers have the same outcome everywhere.
 */
package org.standlink.log;
