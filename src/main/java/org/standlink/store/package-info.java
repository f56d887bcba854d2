/**
 * The port to the platform's store, and what is built on it: following a topic.
 *
 * <p>The store keeps records under keys in topics; the newest record of each key stays, older ones
 * go after a time.
 */
package org.standlink.store;
