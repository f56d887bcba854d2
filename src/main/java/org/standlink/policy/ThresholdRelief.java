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
package org.standlink.policy;

import java.util.Comparator;
import java.util.List;

/**
 * Baseline policy that stops the largest task as soon as a measurement exceeds the target.
 *
 * <p>{@code ThresholdRelief} is thread-safe and immutable.
 */
public final class ThresholdRelief implements ReliefPolicy {

    private static final double TARGET_PERCENT = 100;

    @Override
    public List<ReliefAction> relieve(ServiceMeasurement measurement, List<RunningTask> colocated) {
        if (measurement.latencyPercent() <= TARGET_PERCENT) {
            return List.of();
        }
        return colocated.stream()
                .filter(task -> !task.stopping() && !task.queued())
                .max(Comparator.comparingLong(task -> task.granted().milliCores()))
                .map(task -> List.of(new ReliefAction(task.task(), 0)))
                .orElse(List.of());
    }
}
