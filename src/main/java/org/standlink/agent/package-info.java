/**
 * The agent, the process on the VM of each upstream: it forwards requests to the upstream and runs
 * tasks on the local worker. One agent of each cell is also its leader.
 */
package org.standlink.agent;
