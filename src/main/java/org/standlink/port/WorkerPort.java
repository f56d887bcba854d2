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
 * <p>When a lease expires, the worker stops the tasks that run under it. Each call may fail with
 * PLATFORM_UNAVAILABLE (no effect) or PLATFORM_OUTCOME_UNKNOWN. Implementations are thread-safe.
 */
public interface WorkerPort {

    /**
     * Acquires the worker's lease.
     *
     * <p>An earlier lease of the same holder becomes invalid, while its tasks keep running. The
     * tasks of another holder's lease have ended, as its lease has expired.
     *
     * @param holder the name of the holder
     * @return the lease
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED while the lease of another
     *     holder is in force
     */
    WorkerLease acquire(String holder);

    /**
     * Renews a lease that has not expired.
     *
     * @param lease the lease
     * @return the lease with its new duration
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if it has expired
     */
    WorkerLease renew(WorkerLease lease);

    /**
     * Starts an attempt; the call is idempotent.
     *
     * <p>An attempt that was stopped is not started afterwards, even if the stop arrived before the
     * start.
     *
     * @param lease a lease in force
     * @param start the attempt to start
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if the lease is not in force,
     *     or NO_CAPACITY if the worker lacks free capacity
     */
    void start(WorkerLease lease, TaskStart start);

    /**
     * Stops an attempt after taking a checkpoint.
     *
     * @param lease a lease in force
     * @param task the task
     * @param attempt the attempt
     * @return the state of the attempt after the stop
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if the lease is not in force
     */
    AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt);

    /**
     * Limits the processor usage of a task.
     *
     * @param lease a lease in force
     * @param task the task
     * @param percent the share of its processors that the task may use, 1 to 100
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if the lease is not in force
     */
    void throttle(WorkerLease lease, TaskId task, int percent);

    /**
     * Lists the running and the recently ended attempts; their usage is reported with a delay.
     *
     * @return the attempts known to the worker
     */
    List<AttemptStatus> list();
}
