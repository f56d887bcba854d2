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

import java.util.List;
import java.util.Random;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.standlink.benchmark.DecisionBenchmark;
import org.standlink.benchmark.MarginalCost;
import org.standlink.benchmark.OrderingBenchmark;
import org.standlink.benchmark.PathBenchmark;
import org.standlink.benchmark.PlacementCost;
import org.standlink.benchmark.RoutingBenchmark;
import org.standlink.benchmark.Scenario;
import org.standlink.benchmark.Strategy;
import org.standlink.cell.RoundCost;
import org.standlink.policy.OutlierDetector;
import org.standlink.policy.RoundRobinRouting;
import org.standlink.policy.TwoChoicesRouting;

/** {@code standlink bench}: runs a benchmark whose results are quoted in the documentation. */
final class BenchCommand implements Command {

    /** The benchmarks. */
    enum Kind {
        /** The services, batch work and evictions under each strategy. */
        DECISIONS,
        /** The routing with a slow and a failing upstream. */
        ROUTING,
        /** The number of placement decisions per second. */
        PLACEMENT,
        /** The bytes, processor time and memory that one more task, worker, job or record takes. */
        SLOPES,
        /** The orders of jobs under overload. */
        ORDERING,
        /** The time of a scheduling round with waiting tasks. */
        ROUND,
        /** The path of a request compared with direct calls. */
        PATH
    }

    @Argument(required = true, metaVar = "KIND", usage = "the benchmark to run")
    private Kind kind;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the traces (default: 1)")
    private long seed = 1;

    @Override
    public int run() throws Exception {
        switch (kind) {
            case DECISIONS -> runDecisions();
            case ROUTING -> runRouting();
            case PLACEMENT ->
                    List.of(11, 32, 3100)
                            .forEach(workers -> System.out.println(PlacementCost.measure(workers)));
            case SLOPES -> runSlopes();
            case ORDERING -> OrderingBenchmark.measure(seed).forEach(System.out::println);
            case ROUND -> runRound();
            default -> new PathBenchmark().run().forEach(System.out::println);
        }
        return 0;
    }

    private void runDecisions() {
        for (Scenario scenario : List.of(Scenario.THROUGHPUT, Scenario.LATENCY, Scenario.NOISY)) {
            System.out.println(scenario.name() + ", seed " + seed);
            for (Strategy.Kind strategy : Strategy.Kind.values()) {
                DecisionBenchmark benchmark =
                        new DecisionBenchmark(scenario, Strategy.of(strategy, scenario), seed);
                System.out.println("  " + benchmark.run());
            }
        }
    }

    private void runRouting() {
        System.out.println(new RoutingBenchmark(new RoundRobinRouting(), null).run("round robin"));
        System.out.println(
                new RoutingBenchmark(new RoundRobinRouting(), new OutlierDetector())
                        .run("round robin, ejection"));
        System.out.println(
                new RoutingBenchmark(new TwoChoicesRouting(new Random(seed)), null)
                        .run("two choices"));
        System.out.println(
                new RoutingBenchmark(new TwoChoicesRouting(new Random(seed)), new OutlierDetector())
                        .run("two choices, ejection"));
    }

    private static void runRound() {
        System.out.println(RoundCost.measure(80, 2000));
        System.out.println(RoundCost.measure(300, 10_000));
    }

    private static void runSlopes() {
        MarginalCost.measure().forEach(System.out::println);
        System.out.println(MarginalCost.measureLeader(11, 24));
        System.out.println(MarginalCost.measureLeader(32, 24));
    }
}
