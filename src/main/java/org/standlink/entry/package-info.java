/**
 * The process on each entry VM: the HTTP server for callers, concurrency limits, routing and
 * retries.
 *
 * <p>Each request ends with one of three outcomes, which are reported by status code and header:
 * answered, not run or unknown.
 */
package org.standlink.entry;
