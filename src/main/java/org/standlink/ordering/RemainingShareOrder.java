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
package org.standlink.ordering;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders jobs by their remaining value to the caller, per share of their work that is left, so that
 * overload makes some jobs late rather than all, and started jobs are finished.
 *
 * <p>{@code RemainingShareOrder} is thread-safe and immutable.
 */
public final class RemainingShareOrder implements JobOrder {

    /**
     * The minimum share of the estimated work that is assumed to be left of a started job.
     * Estimates are off by up to half in either direction; such a job is deferred only if it would
     * be late even with this share.
     */
    private static final double STARTED_WORK_FACTOR = 0.8;

    /**
     * The share of the estimated work assumed for a job that has not started, with a reserve for
     * failures and for waiting between its steps. A job that is started without a reserve will be
     * late all the same, and takes the place of another.
     */
    private static final double NEW_WORK_FACTOR = 1.2;

    @Override
    public Comparator<JobProfile> forRound(List<JobProfile> jobs, long now) {
        Map<JobProfile, Double> values = new IdentityHashMap<>(2 * jobs.size());
        for (JobProfile job : jobs) {
            values.put(job, valuePerWork(job, now));
        }
        return (one, other) -> Double.compare(values.get(other), values.get(one));
    }

    private static double valuePerWork(JobProfile job, long now) {
        Timeliness timeliness = job.unbounded() ? Timeliness.ON_TIME : predict(job, now);
        // A job without a completion to be in time for has the highest value.
        double share = job.unbounded() ? JobProfile.MIN_REMAINING_SHARE : job.remainingShare();
        return timeliness.getValue() / share;
    }

    private static Timeliness predict(JobProfile job, long now) {
        double factor = job.started() ? STARTED_WORK_FACTOR : NEW_WORK_FACTOR;
        double completionMillis = now - job.acceptedAt() + factor * job.remainingPathMillis();
        return Timeliness.of(completionMillis, job.targetMillis());
    }
}
