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
package org.standlink.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.SubmitJob;

/** Callers that submit, cancel and query jobs, and retry each request until it is answered. */
final class SimulatedCallers {

    private static final long ANSWER_TIMEOUT_MILLIS = 1500;
    private static final long RETRY_DELAY_MILLIS = 300;

    private final SimulationEnvironment environment;
    private final InvariantChecker checker;
    private final Supplier<SimulatedLeader> leader;
    private final Map<JobId, JobDefinition> accepted = new LinkedHashMap<>();
    private final List<JobDefinition> submitted = new ArrayList<>();

    SimulatedCallers(
            SimulationEnvironment environment,
            InvariantChecker checker,
            Supplier<SimulatedLeader> leader) {
        this.environment = environment;
        this.checker = checker;
        this.leader = leader;
    }

    /** Creates a job of one step whose tasks run for a time; 0 means until they are stopped. */
    static JobDefinition createJob(String id, int tasks, long millis) {
        StepDefinition step =
                new StepDefinition(
                        tasks,
                        SimulatedWorker.TASK_RESOURCES,
                        millis,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        0,
                        false,
                        millis == 0,
                        "",
                        0,
                        false,
                        0);
        String specification =
                millis == 0 ? SimulatedWorker.RUNS_UNTIL_STOPPED : Long.toString(millis);
        return new JobDefinition(
                JobId.parse(id), SimulatedCell.QUEUE, specification, List.of(step), 0, 0, 0);
    }

    /** Creates a job of one task that crashes each worker that starts it. */
    static JobDefinition createCrashingJob(String id, boolean lateCrash) {
        List<StepDefinition> steps = createJob(id, 1, 1000).steps();
        String specification = lateCrash ? SimulatedWorker.CRASHES_LATE : SimulatedWorker.CRASHES;
        return new JobDefinition(
                JobId.parse(id), SimulatedCell.QUEUE, specification, steps, 0, 0, 0);
    }

    void submit(JobDefinition job) {
        submitted.add(job);
        sendRequest(
                new SubmitJob(job),
                answer -> {
                    boolean done = answer.result() == JobAnswer.Result.DONE;
                    if (done) {
                        environment.trace("accepted " + job.id());
                        accepted.put(job.id(), job);
                    }
                    return done;
                });
    }

    void cancel(JobId job) {
        environment.trace("sent cancel of " + job);
        sendRequest(
                new CancelJob(job, SimulatedCell.QUEUE),
                answer -> {
                    boolean done = answer.result() == JobAnswer.Result.DONE;
                    if (done) {
                        checker.cancelAcknowledged(job);
                    }
                    return done || isForgotten(job, answer);
                });
    }

    /** Gets the accepted jobs in the order of their acceptance. */
    List<JobDefinition> getAcceptedJobs() {
        return List.copyOf(accepted.values());
    }

    /** Checks whether an accepted job is unknown because its final state is no longer retained. */
    private boolean isForgotten(JobId job, JobAnswer answer) {
        return accepted.containsKey(job) && answer.result() == JobAnswer.Result.NO_SUCH_JOB;
    }

    /** Queries the state of an accepted job; it is empty if the state is no longer retained. */
    void queryState(JobId job, Consumer<Optional<JobState>> callback) {
        sendRequest(
                new JobQuery(job, SimulatedCell.QUEUE),
                answer -> {
                    boolean known = answer.result() == JobAnswer.Result.DONE;
                    boolean forgotten = isForgotten(job, answer);
                    if (known || forgotten) {
                        callback.accept(Optional.ofNullable(answer.state()));
                    }
                    return known || forgotten;
                });
    }

    /** Lists the tasks of a job of one step. */
    static List<TaskName> listTasks(JobDefinition job) {
        List<TaskName> tasks = new ArrayList<>();
        for (int i = 0; i < job.steps().get(0).count(); i++) {
            tasks.add(new TaskName(job.id(), 0, 0, i));
        }
        return tasks;
    }

    // -----------------------------------------------------------------------
    /** Handles an answer and returns whether it completes the request. */
    private interface AnswerHandler {

        boolean handle(JobAnswer answer);
    }

    private void sendRequest(Message message, AnswerHandler handler) {
        PendingRequest request = new PendingRequest(message, handler);
        SimulatedLeader target = leader.get();
        environment.schedule(environment.draw(1, 4), () -> target.receive(request, 1, message));
        environment.schedule(ANSWER_TIMEOUT_MILLIS, request::retry);
    }

    /** One attempt of a request, sent to one leader. */
    private final class PendingRequest implements MessageChannel {

        private final Message message;
        private final AnswerHandler handler;
        private boolean finished;

        PendingRequest(Message message, AnswerHandler handler) {
            this.message = message;
            this.handler = handler;
        }

        @Override
        public void send(Message ignored) {}

        @Override
        public void answer(long call, Message answer) {
            environment.schedule(environment.draw(1, 4), () -> receive(answer));
        }

        private void receive(Message answer) {
            if (!(answer instanceof JobAnswer jobAnswer) || !handler.handle(jobAnswer)) {
                environment.schedule(RETRY_DELAY_MILLIS, this::retry);
            } else {
                finished = true;
            }
        }

        /** Sends the request again, once. A late answer to this attempt is still handled. */
        private void retry() {
            if (!finished) {
                finished = true;
                sendRequest(message, handler);
            }
        }
    }
}
