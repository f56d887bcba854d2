/**
 * The process beside each upstream: it runs requests against the upstream, tasks on the local
 * worker and, in one agent of each cell, the leader role.
 */
package org.standlink.agent;
