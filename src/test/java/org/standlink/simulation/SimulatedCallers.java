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

/** Those who submit jobs and cancel them, and ask again until they are answered. */
final class SimulatedCallers {

    private static final long ANSWER_MILLIS = 1500;
    private static final long AGAIN_MILLIS = 300;

    private final SimulationEnvironment world;
    private final InvariantChecker referee;
    private final Supplier<SimulatedLeader> leader;
    private final Map<JobId, JobDefinition> accepted = new LinkedHashMap<>();
    private final List<JobDefinition> submitted = new ArrayList<>();

    SimulatedCallers(
            SimulationEnvironment world,
            InvariantChecker referee,
            Supplier<SimulatedLeader> leader) {
        this.world = world;
        this.referee = referee;
        this.leader = leader;
    }

    /** Makes a job of one step; its tasks take so long, 0 for ever. */
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
        String work = millis == 0 ? SimulatedWorker.RUNS_UNTIL_STOPPED : Long.toString(millis);
        return new JobDefinition(
                JobId.parse(id), SimulatedCell.QUEUE, work, List.of(step), 0, 0, 0);
    }

    /** Makes a job of one task that crashes each worker that starts it. */
    static JobDefinition createCrashingJob(String id, boolean late) {
        List<StepDefinition> steps = createJob(id, 1, 1000).steps();
        String work = late ? SimulatedWorker.CRASHES_LATE : SimulatedWorker.CRASHES;
        return new JobDefinition(JobId.parse(id), SimulatedCell.QUEUE, work, steps, 0, 0, 0);
    }

    void submit(JobDefinition job) {
        submitted.add(job);
        ask(
                new SubmitJob(job),
                answer -> {
                    boolean taken = answer.result() == JobAnswer.Result.DONE;
                    if (taken) {
                        world.trace("accepted " + job.id());
                        accepted.put(job.id(), job);
                    }
                    return taken;
                });
    }

    void cancel(JobId job) {
        world.trace("cancel sent of " + job);
        ask(
                new CancelJob(job, SimulatedCell.QUEUE),
                answer -> {
                    boolean taken = answer.result() == JobAnswer.Result.DONE;
                    if (taken) {
                        referee.cancelAcknowledged(job);
                    }
                    return taken || isForgotten(job, answer);
                });
    }

    /** Lists the jobs that were accepted. */
    List<JobDefinition> getAcceptedJobs() {
        return List.copyOf(accepted.values());
    }

    /** A job that was accepted and is not known any more was final long ago. */
    private boolean isForgotten(JobId job, JobAnswer answer) {
        return accepted.containsKey(job) && answer.result() == JobAnswer.Result.NO_SUCH_JOB;
    }

    /** Asks for the state of a job that was accepted; none is told of one that is forgotten. */
    void queryState(JobId job, Consumer<Optional<JobState>> then) {
        ask(
                new JobQuery(job, SimulatedCell.QUEUE),
                answer -> {
                    boolean known = answer.result() == JobAnswer.Result.DONE;
                    boolean forgotten = isForgotten(job, answer);
                    if (known || forgotten) {
                        then.accept(Optional.ofNullable(answer.state()));
                    }
                    return known || forgotten;
                });
    }

    /** Names the tasks of a job of one step. */
    static List<TaskName> listTasks(JobDefinition job) {
        List<TaskName> names = new ArrayList<>();
        for (int i = 0; i < job.steps().get(0).count(); i++) {
            names.add(new TaskName(job.id(), 0, 0, i));
        }
        return names;
    }

    // -----------------------------------------------------------------------
    /** Takes an answer, and tells whether it settles what was asked. */
    private interface Taker {

        boolean take(JobAnswer answer);
    }

    private void ask(Message message, Taker taker) {
        Question question = new Question(message, taker);
        SimulatedLeader asked = leader.get();
        world.schedule(world.draw(1, 4), () -> asked.receive(question, 1, message));
        world.schedule(ANSWER_MILLIS, question::again);
    }

    /** One question to one leader. */
    private final class Question implements MessageChannel {

        private final Message message;
        private final Taker taker;
        private boolean over;

        Question(Message message, Taker taker) {
            this.message = message;
            this.taker = taker;
        }

        @Override
        public void send(Message unasked) {}

        @Override
        public void answer(long call, Message answer) {
            world.schedule(world.draw(1, 4), () -> take(answer));
        }

        private void take(Message answer) {
            if (!(answer instanceof JobAnswer told) || !taker.take(told)) {
                world.schedule(AGAIN_MILLIS, this::again);
            } else {
                over = true;
            }
        }

        /** A late answer counts too, but nothing is asked twice for it. */
        private void again() {
            if (!over) {
                over = true;
                ask(message, taker);
            }
        }
    }
}
