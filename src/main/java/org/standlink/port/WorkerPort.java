/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.port;

import java.util.List;
import org.standlink.Attempt;
import org.standlink.TaskId;

/**
 * The worker of a VM, which runs tasks under a lease.
 *
 * <p>When a lease lapses the worker stops what runs under it. Each call may fail with
 * PLATFORM_UNAVAILABLE (no effect) or PLATFORM_OUTCOME_UNKNOWN. Implementations are thread-safe.
 */
public interface WorkerPort {

    /**
     * Takes the worker's lease, ending any other holder's and what runs under it.
     *
     * @param holder names the holder
     * @return the lease
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED while another holder's lease
     *     is live
     */
    WorkerLease acquire(String holder);

    /**
     * Renews a lease that has not lapsed.
     *
     * @param lease the lease
     * @return the lease with its new length
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if it has lapsed
     */
    WorkerLease renew(WorkerLease lease);

    /**
     * Starts an attempt; starting the same attempt twice has no further effect.
     *
     * @param lease a live lease
     * @param start what to start
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED or NO_CAPACITY
     */
    void start(WorkerLease lease, TaskStart start);

    /**
     * Stops an attempt after taking a checkpoint.
     *
     * @param lease a live lease
     * @param task the task
     * @param attempt the attempt
     * @return where it stands now that it has stopped
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED
     */
    AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt);

    /**
     * Limits the processors of an attempt.
     *
     * @param lease a live lease
     * @param task the task
     * @param percent the share of its processors it may use, 1 to 100
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED
     */
    void throttle(WorkerLease lease, TaskId task, int percent);

    /**
     * Tells what runs and what has ended lately, with usage that lags.
     *
     * @return the attempts known to the worker
     */
    List<AttemptStatus> list();
}
