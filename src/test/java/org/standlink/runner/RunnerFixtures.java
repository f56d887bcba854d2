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
package org.standlink.runner;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.standlink.FakeEventLoop;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.wire.StartOrder;

/** A worker, a run and a listener for tests. */
final class RunnerFixtures {

    static final WorkerIncarnation INCARNATION = WorkerIncarnation.parse("i-1@1000");

    static final RunId RUN = new RunId(TaskName.parse("j.0.0.0"), 1);

    static final WorkerDescription WORKER =
            new WorkerDescription(
                    INCARNATION,
                    "s",
                    "10.0.0.1:1",
                    new Resources(1000, 100, 0),
                    HallId.parse("h"),
                    List.of(),
                    false,
                    0);

    /** A listener that does nothing. */
    static final IncarnationListener NO_OP_LISTENER =
            new IncarnationListener() {
                @Override
                public void confirmed(WorkerIncarnation worker) {}

                @Override
                public void replaced(WorkerIncarnation worker, WorkerIncarnation replacement) {}

                @Override
                public void departed(WorkerIncarnation worker) {}

                @Override
                public void clockFellBehind(WorkerIncarnation worker, long lagMillis) {}
            };

    private RunnerFixtures() {}

    static StartOrder startOrder() {
        return new StartOrder(RUN, "text", "", false, 0, "");
    }

    /** Creates an answer that is completed after a delay. */
    static <T> CompletableFuture<T> completeLater(FakeEventLoop loop, long millis, T value) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.schedule(
                () -> {
                    answer.complete(value);
                },
                millis,
                TimeUnit.MILLISECONDS);
        return answer;
    }
}
