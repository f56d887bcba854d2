/**
 * The ports to the platform (log, VM list, worker) and their HTTP adapters.
 *
 * <p>The core knows only the interfaces. Another platform is met by another set of adapters.
 */
package org.standlink.port;
