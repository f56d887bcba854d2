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
 * Throttles the best-effort runs of one worker by the figures that it reports, and tells now and
 * then what they were.
 *
 * <p>{@code WorkerThrottle} is not thread-safe; the agent's loop owns it.
 */
final class WorkerThrottle {

    /**
     * The time between two decisions on throttling, in milliseconds; a figure covers half a second.
     */
    private static final long DECIDE_MILLIS = 350;

    /** The time between two tellings of the figures, in milliseconds; two decisions in seven. */
    private static final long TELL_MILLIS = 2000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerThrottle.class);

    /** Decides. */
    private final ThrottlePolicy policy;

    /** The best-effort images there when throttling was decided on last. */
    private Set<String> bestEffort = Set.of();

    /** When throttling was decided on last. */
    private long decidedAt;

    /** When the figures were told last. */
    private long toldAt;

    /**
     * Constructor.
     *
     * @param harm what is believed of images
     */
    WorkerThrottle(InterferenceTable harm) {
        this.policy = new ThrottlePolicy(harm);
    }

    /**
     * Takes new figures of a worker, and throttles its runs if it is time to.
     *
     * @param worker the worker
     * @param running what runs, with the figures
     * @param runs the runs that the leader has spoken of
     * @param now the time, in milliseconds
     */
    void apply(WorkerIncarnation worker, List<RunProgress> running, RunTable runs, long now) {
        if (now - decidedAt < DECIDE_MILLIS) {
            return;
        }
        decidedAt = now;
        Map<String, Double> tails = new HashMap<>();
        Map<String, Long> used = new TreeMap<>();
        for (RunProgress progress : running) {
            StartOrder order = runs.findOrder(progress.run());
            if (order != null && order.targetMillis() > 0) {
                tails.merge(
                        order.image(), progress.measurement() / order.targetMillis(), Math::max);
            } else if (order != null && order.bestEffort()) {
                used.merge(order.image(), progress.measurement(), Long::sum);
            }
        }
        bestEffort = Set.copyOf(used.keySet());
        policy.updateShares(tails, bestEffort, now);
        runs.throttle(policy::getShare);
        tell(worker, tails, used, now);
    }

    /**
     * Lists the images whose runs may not work all the time.
     *
     * @return the images and their shares
     */
    List<ImageShare> listThrottled() {
        return bestEffort.stream()
                .map(image -> new ImageShare(image, policy.getShare(image)))
                .filter(share -> share.percent() < ThrottlePolicy.FULL_SHARE_PERCENT)
                .toList();
    }

    private void tell(
            WorkerIncarnation worker, Map<String, Double> tails, Map<String, Long> used, long now) {
        if (now - toldAt < TELL_MILLIS || tails.isEmpty() && used.isEmpty()) {
            return;
        }
        toldAt = now;
        StringBuilder serving = new StringBuilder();
        new TreeMap<>(tails)
                .forEach(
                        (image, tail) ->
                                serving.append(
                                        String.format(Locale.ROOT, "%s %.2f ", image, tail)));
        StringBuilder bestEffort = new StringBuilder();
        used.forEach(
                (image, cores) ->
                        bestEffort.append(
                                String.format(
                                        Locale.ROOT,
                                        "%s %d%% %d ",
                                        image,
                                        policy.getShare(image),
                                        cores)));
        LOG.info("worker-figures")
                .with("worker", worker)
                .with("tails-by-target", serving.toString().trim())
                .with("best-effort-share-and-millicores", bestEffort.toString().trim())
                .write();
    }
}
