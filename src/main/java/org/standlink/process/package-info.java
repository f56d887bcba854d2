/** Infrastructure of long-running processes: timers, threads, logging and an HTTP server. */
package org.standlink.process;
