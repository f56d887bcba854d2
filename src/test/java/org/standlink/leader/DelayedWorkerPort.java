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
package org.standlink.leader;

import java.util.ArrayList;
import java.util.List;
import org.standlink.Attempt;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.port.TaskStart;
import org.standlink.port.TaskUsage;
import org.standlink.port.WorkerLease;
import org.standlink.port.WorkerPort;

/** The way to a worker, on which calls may go unanswered and be carried out late. */
final class DelayedWorkerPort implements WorkerPort {

    private final WorkerPort worker;

    /** Calls without an answer, which the worker has yet to carry out. */
    private final List<Runnable> late = new ArrayList<>();

    private boolean holdsStarts;

    private boolean holdsLeases;

    DelayedWorkerPort(WorkerPort worker) {
        this.worker = worker;
    }

    /** Leaves starts without an answer from now on, or no more. */
    void setDelayingStarts(boolean holds) {
        holdsStarts = holds;
    }

    /** Leaves calls that take or renew the lease without an answer from now on, or no more. */
    void setDelayingLeases(boolean holds) {
        holdsLeases = holds;
    }

    /** Counts the calls that are yet to be carried out. */
    int countDelayedCalls() {
        return late.size();
    }

    /**
     * Lets the worker carry out the oldest call without an answer; nobody hears what comes of it.
     */
    void executeDelayedCall() {
        if (late.isEmpty()) {
            return;
        }
        try {
            late.remove(0).run();
        } catch (StandlinkException refused) {
            // The caller is not there any more.
        }
    }

    @Override
    public WorkerLease acquire(String holder) {
        if (holdsLeases) {
            hold(() -> worker.acquire(holder));
        }
        return worker.acquire(holder);
    }

    @Override
    public WorkerLease renew(WorkerLease lease) {
        if (holdsLeases) {
            hold(() -> worker.renew(lease));
        }
        return worker.renew(lease);
    }

    @Override
    public void start(WorkerLease lease, TaskStart start) {
        if (holdsStarts) {
            hold(() -> worker.start(lease, start));
        }
        worker.start(lease, start);
    }

    @Override
    public TaskUsage stop(WorkerLease lease, TaskId task, Attempt attempt) {
        return worker.stop(lease, task, attempt);
    }

    @Override
    public void throttle(WorkerLease lease, TaskId task, int percent) {
        worker.throttle(lease, task, percent);
    }

    @Override
    public List<TaskUsage> list() {
        return worker.list();
    }

    private void hold(Runnable call) {
        late.add(call);
        throw new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN, "no answer came", "look what holds");
    }
}
