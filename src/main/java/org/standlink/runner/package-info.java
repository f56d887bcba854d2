/**
 * The agent of a machine: starts and stops runs on its workers, as the leader orders, and reports
 * their state and outcome to the leader.
 */
package org.standlink.runner;
