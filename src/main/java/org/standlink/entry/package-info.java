/**
 * The process on each entry VM: callers' HTTP, class limits, routing and retries.
 *
 * <p>Each request ends in one of three outcomes, told by status and header: answered, not run or
 * unknown.
 */
package org.standlink.entry;
