/** The gateway for callers: finds the queue of a request and forwards it to the leader. */
package org.standlink.gateway;
