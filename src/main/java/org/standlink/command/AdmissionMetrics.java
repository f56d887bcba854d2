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
package org.standlink.command;

import org.standlink.admission.AdmissionListener;
import org.standlink.metrics.LateBoundMeters;

/**
 * Shows the backlog and the refused submissions of the leader as metrics. The gauges have no value
 * while this process does not lead.
 *
 * <p>{@code AdmissionMetrics} is thread-safe.
 */
final class AdmissionMetrics implements AdmissionListener {

    private final LateBoundMeters meters;

    /**
     * Creates the metrics.
     *
     * @param meters the meters of admission alone
     */
    AdmissionMetrics(LateBoundMeters meters) {
        this.meters = meters;
    }

    @Override
    public void backlogMeasured(
            String service, int priority, double cpuSeconds, double startSeconds) {
        String[] tags = {"service", service, "priority", Integer.toString(priority)};
        meters.setGauge(
                "standlink.backlog.cpu.seconds",
                "estimated work that waits and runs, in seconds of one core",
                cpuSeconds,
                tags);
        meters.setGauge(
                "standlink.backlog.start.seconds",
                "predicted time until a new job starts, in seconds",
                startSeconds,
                tags);
    }

    @Override
    public void backlogUnknown() {
        meters.clearGauges();
    }

    @Override
    public void submissionRefused(String queue) {
        meters.increment(
                "standlink.admission.refused",
                "submissions refused because of the backlog",
                "queue",
                queue);
    }
}
