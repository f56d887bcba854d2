/**
 * The interface of the platform's store, and a follower of its topics.
 *
 * <p>The store keeps keyed records in topics. The newest record of each key is retained; older ones
 * are dropped after a time.
 */
package org.standlink.store;
