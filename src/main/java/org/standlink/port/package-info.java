/**
 * The ports to the platform (log, VM list, worker) and their HTTP adapters.
 *
 * <p>The core depends only on the interfaces. Support for another platform requires another set of
 * adapters only.
 */
package org.standlink.port;
