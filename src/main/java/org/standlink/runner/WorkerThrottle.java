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

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.wire.ImageShare;
import org.standlink.wire.StartOrder;

/**
 * Throttles the best-effort runs of a worker by the measurements that it reports, and logs these
 * periodically.
 *
 * <p>{@code WorkerThrottle} is not thread-safe; it is confined to the agent's event loop.
 */
final class WorkerThrottle {

    /**
     * The interval between two throttling decisions, in milliseconds; a measurement covers half a
     * second.
     */
    private static final long DECISION_INTERVAL_MILLIS = 350;

    /**
     * The interval at which the measurements are logged, in milliseconds; two of seven decisions.
     */
    private static final long LOG_INTERVAL_MILLIS = 2000;

    private static final EventLog LOG = EventLog.of(WorkerThrottle.class);

    private final ThrottlePolicy policy;

    /** The best-effort images at the last throttling decision. */
    private Set<String> bestEffort = Set.of();

    /** When the last throttling decision was made, in milliseconds. */
    private long lastDecisionAt;

    /** When the measurements were last logged, in milliseconds. */
    private long lastLoggedAt;

    WorkerThrottle(InterferenceTable interference) {
        this.policy = new ThrottlePolicy(interference);
    }

    /**
     * Throttles the runs of a worker by new measurements, if a decision is due.
     *
     * @param worker the worker
     * @param running the running runs, with their measurements
     * @param runs the runs that the leader has ordered
     * @param now the time, in milliseconds
     */
    void apply(WorkerIncarnation worker, List<RunProgress> running, RunTable runs, long now) {
        if (now - lastDecisionAt < DECISION_INTERVAL_MILLIS) {
            return;
        }
        lastDecisionAt = now;
        Map<String, Double> tailRatios = new HashMap<>();
        Map<String, Long> usedMilliCores = new TreeMap<>();
        for (RunProgress progress : running) {
            StartOrder order = runs.findOrder(progress.run());
            if (order != null && order.targetMillis() > 0) {
                tailRatios.merge(
                        order.image(), progress.measurement() / order.targetMillis(), Math::max);
            } else if (order != null && order.bestEffort()) {
                usedMilliCores.merge(order.image(), progress.measurement(), Long::sum);
            }
        }
        bestEffort = Set.copyOf(usedMilliCores.keySet());
        policy.updateShares(tailRatios, bestEffort, now);
        runs.throttle(policy::getShare);
        logMetrics(worker, tailRatios, usedMilliCores, now);
    }

    /**
     * Lists the images whose runs may not run all the time.
     *
     * @return the images and their shares
     */
    List<ImageShare> listThrottled() {
        return bestEffort.stream()
                .map(image -> new ImageShare(image, policy.getShare(image)))
                .filter(share -> share.percent() < ThrottlePolicy.FULL_SHARE_PERCENT)
                .toList();
    }

    private void logMetrics(
            WorkerIncarnation worker,
            Map<String, Double> tailRatios,
            Map<String, Long> usedMilliCores,
            long now) {
        if (now - lastLoggedAt < LOG_INTERVAL_MILLIS
                || tailRatios.isEmpty() && usedMilliCores.isEmpty()) {
            return;
        }
        lastLoggedAt = now;
        StringBuilder servingText = new StringBuilder();
        new TreeMap<>(tailRatios)
                .forEach(
                        (image, ratio) ->
                                servingText.append(
                                        String.format(Locale.ROOT, "%s %.2f ", image, ratio)));
        StringBuilder bestEffortText = new StringBuilder();
        usedMilliCores.forEach(
                (image, milliCores) ->
                        bestEffortText.append(
                                String.format(
                                        Locale.ROOT,
                                        "%s %d%% %d ",
                                        image,
                                        policy.getShare(image),
                                        milliCores)));
        LOG.info("worker-figures")
                .with("worker", worker)
                .with("tails-by-target", servingText.toString().trim())
                .with("best-effort-share-and-millicores", bestEffortText.toString().trim())
                .write();
    }
}
