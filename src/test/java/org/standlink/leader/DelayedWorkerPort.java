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
import org.standlink.port.AttemptStatus;
import org.standlink.port.TaskStart;
import org.standlink.port.WorkerLease;
import org.standlink.port.WorkerPort;

/** A port of a worker on which calls may remain unanswered and be executed later. */
final class DelayedWorkerPort implements WorkerPort {

    private final WorkerPort worker;

    /** Unanswered calls that the worker has not executed yet. */
    private final List<Runnable> delayedCalls = new ArrayList<>();

    private boolean delayingStarts;

    private boolean delayingLeases;

    DelayedWorkerPort(WorkerPort worker) {
        this.worker = worker;
    }

    /** Sets whether starts remain unanswered. */
    void setDelayingStarts(boolean delaying) {
        delayingStarts = delaying;
    }

    /** Sets whether calls that acquire or renew the lease remain unanswered. */
    void setDelayingLeases(boolean delaying) {
        delayingLeases = delaying;
    }

    /** Counts the calls that have not been executed yet. */
    int countDelayedCalls() {
        return delayedCalls.size();
    }

    /** Has the worker execute the oldest delayed call, whose result nobody receives. */
    void executeDelayedCall() {
        if (delayedCalls.isEmpty()) {
            return;
        }
        try {
            delayedCalls.remove(0).run();
        } catch (StandlinkException refused) {
            // The caller no longer waits for the answer.
        }
    }

    @Override
    public WorkerLease acquire(String holder) {
        if (delayingLeases) {
            delay(() -> worker.acquire(holder));
        }
        return worker.acquire(holder);
    }

    @Override
    public WorkerLease renew(WorkerLease lease) {
        if (delayingLeases) {
            delay(() -> worker.renew(lease));
        }
        return worker.renew(lease);
    }

    @Override
    public void start(WorkerLease lease, TaskStart start) {
        if (delayingStarts) {
            delay(() -> worker.start(lease, start));
        }
        worker.start(lease, start);
    }

    @Override
    public AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt) {
        return worker.stop(lease, task, attempt);
    }

    @Override
    public void throttle(WorkerLease lease, TaskId task, int percent) {
        worker.throttle(lease, task, percent);
    }

    @Override
    public List<AttemptStatus> list() {
        return worker.list();
    }

    private void delay(Runnable call) {
        delayedCalls.add(call);
        throw new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "the worker did not answer",
                "read the state again");
    }
}
