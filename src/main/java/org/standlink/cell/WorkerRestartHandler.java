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
package org.standlink.cell;

import java.util.List;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * Decides what becomes of the runs of a worker that has started again under its id.
 *
 * <p>A call names the id alone, so one that was meant for the former life may be carried out late
 * by the present one: a start given up too early would begin beside the run that takes its place,
 * and a renewal would make the worker forget ends that nobody has heard of. Therefore the
 * generation of the agent's lease rises first, and the runs stay placed until the present life has
 * listed what it runs under that generation. From then on it refuses all that came before. Runs
 * that it lists go on there; the others ended with the former life.
 *
 * <p>{@code WorkerRestartHandler} is not thread-safe; the leader's loop owns it.
 */
final class WorkerRestartHandler {

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerRestartHandler.class);

    /** The workers. */
    private final WorkerRegistry workers;

    /** The agents. */
    private final AgentRegistry agents;

    /** Finds tasks that crash their workers. */
    private final CrashDetector crashes;

    /** Takes runs off their workers. */
    private final RunReleaser releases;

    /** The clock. */
    private final MonotonicClock clock;

    /**
     * Constructor.
     *
     * @param workers the workers
     * @param agents the agents
     * @param crashes finds tasks that crash their workers
     * @param releases takes runs off their workers
     * @param clock the clock
     */
    WorkerRestartHandler(
            WorkerRegistry workers,
            AgentRegistry agents,
            CrashDetector crashes,
            RunReleaser releases,
            MonotonicClock clock) {
        this.workers = workers;
        this.agents = agents;
        this.crashes = crashes;
        this.releases = releases;
        this.clock = clock;
    }

    /**
     * Takes note of the lives that are over, as another one of the same worker has answered.
     *
     * @param report a report that names what this leader has told its sender
     * @return true if the generation of the sender's lease has risen, so that the report counts for
     *     nothing more
     */
    boolean detectRestarts(AgentReport report) {
        boolean begun = false;
        for (WorkerReport part : report.workers()) {
            for (WorkerEntry former : workers.findOtherIncarnations(part.worker().incarnation())) {
                boolean over =
                        former.isEnded()
                                || report.dead().contains(former.getIncarnation())
                                || isFollowed(former, part, report.incarnation());
                begun |= over && end(former, part.worker().incarnation(), report.incarnation());
            }
        }
        return begun;
    }

    /**
     * Checks whether it is still open what became of the runs of a worker's former lives; once it
     * is not, they go on where they are listed or are taken off.
     *
     * @param present the present life
     * @param part what is reported of it
     * @return true if the report of it counts for nothing more
     */
    boolean isResolutionPending(WorkerEntry present, WorkerReport part) {
        List<WorkerEntry> formers =
                workers.findOtherIncarnations(present.getIncarnation()).stream()
                        .filter(WorkerEntry::isEnded)
                        .toList();
        boolean open = !formers.isEmpty() && !(part.listed() && part.reachable());
        if (!open) {
            formers.forEach(former -> settle(former, present, part));
        }
        return open;
    }

    // -----------------------------------------------------------------------
    /**
     * Tells whether a life follows another one. Both may be told of by different agents, if the
     * worker has moved; then the one that does not answer any more, or was born first, is over.
     */
    private boolean isFollowed(WorkerEntry former, WorkerReport part, Incarnation agent) {
        boolean silent =
                !former.isReachable()
                        || clock.nowMillis() - former.getLastReportMillis()
                                >= WorkerRegistry.REPORT_TIMEOUT_MILLIS;
        return part.reachable()
                && (silent
                        || agent.equals(former.getAgent())
                        || part.worker().incarnation().isStartedAfter(former.getIncarnation()));
    }

    /** Ends a life; false if all orders of it are barred already where the next one is. */
    private boolean end(WorkerEntry former, WorkerIncarnation present, Incarnation agent) {
        LeaseGeneration known = agents.getGeneration(agent);
        if (former.isEnded() && !former.getFenceGeneration().isAfter(known)) {
            return false;
        }
        if (!former.isEnded() && former.getIncarnation().hasStartTime()) {
            crashes.recordCrash(former).forEach(releases::markTaskChanged);
        }
        agents.raiseGeneration(agent, "worker-started-again");
        former.markEnded(agents.getGeneration(agent));
        LOG.info("worker-started-again")
                .with("former", former.getIncarnation())
                .with("present", present)
                .with("runs", former.listTasks().size())
                .with("generation", former.getFenceGeneration())
                .write();
        return true;
    }

    private void settle(WorkerEntry former, WorkerEntry present, WorkerReport part) {
        for (TaskEntry task : List.copyOf(former.listTasks())) {
            if (isListed(part, task.getRun())) {
                LOG.info("taken-over")
                        .with("run", task.getRun())
                        .with("worker", present.getIncarnation())
                        .write();
                former.removeTask(task);
                task.setWorker(present.getIncarnation());
                present.addTask(task);
                releases.markTaskChanged(task);
            } else {
                releases.release(task, former.getIncarnation(), "worker-started-again");
            }
        }
        workers.remove(former);
    }

    private static boolean isListed(WorkerReport part, RunId run) {
        return part.running().stream().anyMatch(one -> one.run().equals(run))
                || part.ended().stream().anyMatch(end -> end.run().equals(run));
    }
}
