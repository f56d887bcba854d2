/** What every long-running program of standlink needs: timers, threads and an HTTP server. */
package org.standlink.process;
