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
package org.standlink.benchmark;

import java.util.ArrayList;
import java.util.List;

/**
 * Compares the orders of jobs under overload: how many jobs are on time, and what their value is.
 *
 * <p>{@code OrderingBenchmark} is thread-safe and immutable.
 */
public final class OrderingBenchmark {

    /** The number of runs that are averaged. */
    private static final int SEEDS = 20;

    /** The length of a burst, in milliseconds. */
    private static final long BURST_MILLIS = 6000;

    /** The length of a lasting overload, in milliseconds. */
    private static final long LASTING_MILLIS = 60_000;

    private OrderingBenchmark() {}

    /** A named error of the callers' estimates. */
    private record EstimateError(String name, double share) {}

    /**
     * Measures all loads with exact estimates, estimates off by half and useless ones.
     *
     * @param firstSeed the seed of the first run
     * @return the lines of a table
     */
    public static List<String> measure(long firstSeed) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "| load | estimates | on time, present | on time, new"
                        + " | value, present | value, new |");
        lines.add("|---|---|---|---|---|---|");
        List<EstimateError> errors =
                List.of(
                        new EstimateError("exact", 0),
                        new EstimateError("off by half", 0.5),
                        new EstimateError("useless", 0.9));
        for (EstimateError error : errors) {
            for (double load : new double[] {1.0, 1.5, 2.1, 2.6}) {
                SlotLoad burst = new SlotLoad(load, BURST_MILLIS, error.share());
                lines.add(measure("burst of " + load, error.name(), burst, firstSeed));
            }
            SlotLoad lasting = new SlotLoad(1.3, LASTING_MILLIS, error.share());
            lines.add(measure("1.3 for a minute", error.name(), lasting, firstSeed));
        }
        return lines;
    }

    private static String measure(String name, String estimates, SlotLoad load, long firstSeed) {
        double[] sums = new double[4];
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            SlotSimulation.Result present = new SlotSimulation(load.generate(seed), false).run();
            SlotSimulation.Result changed = new SlotSimulation(load.generate(seed), true).run();
            sums[0] += present.onTime();
            sums[1] += changed.onTime();
            sums[2] += present.value();
            sums[3] += changed.value();
        }
        return String.format(
                "| %s | %s | %.3f | %.3f | %.3f | %.3f |",
                name,
                estimates,
                sums[0] / SEEDS,
                sums[1] / SEEDS,
                sums[2] / SEEDS,
                sums[3] / SEEDS);
    }
}
