/** The side of callers: an entry that finds the queue of a request and asks the leader. */
package org.standlink.gateway;
