/**
 * The side of a worker: an agent that starts and stops runs on the worker beside it, as the leader
 * orders, and tells the leader what becomes of them.
 */
package org.standlink.runner;
