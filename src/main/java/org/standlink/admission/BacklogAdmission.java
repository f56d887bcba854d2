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
package org.standlink.admission;

import java.util.HashSet;
import java.util.Set;
import org.standlink.ordering.Timeliness;

/**
 * Refuses jobs that the backlog would delay until their results are of no use to their callers.
 *
 * <p>A job is refused only because of work ahead of it. A job that fits into free capacity, need
 * not wait, or would be too late without any backlog is admitted.
 *
 * <p>{@code BacklogAdmission} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
public final class BacklogAdmission implements AdmissionPolicy {

    /**
     * The share of the limit below which refusal ends. A single job or worker changes the
     * prediction by a few percent and must not alternate the decision.
     */
    private static final double RELEASE_SHARE = 0.75;

    /** The kinds of jobs that are being refused. */
    private final Set<JobKind> refused = new HashSet<>();

    /** Jobs that wait for the same capacity behind the same work. */
    private record JobKind(String queue, int priority, boolean bestEffort) {}

    @Override
    public AdmissionDecision decide(JobRequest job, Backlog backlog, long now) {
        if (job.unbounded() || job.targetMillis() <= 0 || !backlog.isKnown()) {
            return AdmissionDecision.ADMITTED;
        }
        JobKind kind = new JobKind(job.queue(), job.priority(), job.bestEffort());
        double limit = Timeliness.USEFUL_TARGET_FACTOR * job.targetMillis();
        double start = backlog.predictFirstStartMillis(job, true);
        if (start <= 0) {
            refused.remove(kind);
            return AdmissionDecision.ADMITTED;
        }
        if (backlog.hasRoom(job)) {
            return AdmissionDecision.ADMITTED;
        }
        double end = predictEnd(job, backlog);
        double releaseLimit = RELEASE_SHARE * limit;
        if (end <= releaseLimit) {
            refused.remove(kind);
        }
        boolean admitted = end <= limit && !refused.contains(kind);
        if (admitted || isTooLateAlone(job, backlog, limit)) {
            return new AdmissionDecision(true, Math.round(end), Math.round(limit), 0);
        }
        refused.add(kind);
        // The job is admitted once its end is below the lower limit or it need not wait.
        double waitMillis = Math.min(end - releaseLimit, start);
        long retryAfterSeconds = RetryDelay.computeSeconds(job.job(), waitMillis);
        return new AdmissionDecision(false, Math.round(end), Math.round(limit), retryAfterSeconds);
    }

    // -----------------------------------------------------------------------
    /** Predicts the end of a job; jobs that can be on time are scheduled before late ones. */
    private static double predictEnd(JobRequest job, Backlog backlog) {
        double onTimeEnd = backlog.predictLastStartMillis(job, false) + job.lastRunMillis();
        return onTimeEnd <= job.targetMillis()
                ? onTimeEnd
                : backlog.predictLastStartMillis(job, true) + job.lastRunMillis();
    }

    private static boolean isTooLateAlone(JobRequest job, Backlog backlog, double limit) {
        double available = backlog.getAvailableMilliCores(job.bestEffort());
        return available <= 0 || Math.max(job.pathMillis(), job.work() / available) > limit;
    }
}
