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

import org.standlink.policy.FirstFitPlacement;
import org.standlink.policy.GradualRelief;
import org.standlink.policy.InterferenceAwarePlacement;
import org.standlink.policy.InterferenceModel;
import org.standlink.policy.LearnedInterference;
import org.standlink.policy.LearnedSizes;
import org.standlink.policy.LeastLoadedPlacement;
import org.standlink.policy.PlacementPolicy;
import org.standlink.policy.ReliefPolicy;
import org.standlink.policy.SizeEstimator;
import org.standlink.policy.ThresholdRelief;

/**
 * A combination of policies that are benchmarked together.
 *
 * <p>{@code Strategy} is immutable, but its policies learn; create a new one for each run.
 *
 * @param name the name that is printed
 * @param sizes estimates the resources that tasks need
 * @param model estimates the interference of tasks with services
 * @param placement chooses workers
 * @param relief throttles or evicts tasks to protect services
 */
public record Strategy(
        String name,
        SizeEstimator sizes,
        InterferenceModel model,
        PlacementPolicy placement,
        ReliefPolicy relief) {

    /** The strategies that are compared. */
    public enum Kind {
        /** The baseline of the comparison: first fit on declared sizes, threshold relief. */
        FIRST_FIT_DECLARED,
        /** The least loaded worker on declared sizes, threshold relief. */
        LEAST_LOADED_DECLARED,
        /** The leader's policies with declared sizes and without an interference model. */
        NO_LEARNING,
        /** The leader's policies. */
        STANDLINK,
        /** The leader's policies with declared sizes. */
        WITHOUT_LEARNED_SIZES,
        /** The leader's policies without an interference model. */
        WITHOUT_INTERFERENCE,
        /** The leader's policies with threshold relief. */
        WITHOUT_GRADUAL_RELIEF
    }

    /**
     * Creates a strategy.
     *
     * @param kind the kind
     * @param scenario the scenario, whose weights are used
     * @return the strategy
     */
    public static Strategy of(Kind kind, Scenario scenario) {
        boolean usesDeclaredSizes =
                kind == Kind.FIRST_FIT_DECLARED
                        || kind == Kind.LEAST_LOADED_DECLARED
                        || kind == Kind.NO_LEARNING
                        || kind == Kind.WITHOUT_LEARNED_SIZES;
        SizeEstimator sizes = usesDeclaredSizes ? SizeEstimator.ofDeclared() : new LearnedSizes();
        boolean ignoresInterference = kind == Kind.NO_LEARNING || kind == Kind.WITHOUT_INTERFERENCE;
        InterferenceModel model =
                ignoresInterference ? InterferenceModel.ofNone() : new LearnedInterference();
        PlacementPolicy placement =
                switch (kind) {
                    case FIRST_FIT_DECLARED -> new FirstFitPlacement(sizes);
                    case LEAST_LOADED_DECLARED -> new LeastLoadedPlacement(sizes);
                    default ->
                            new InterferenceAwarePlacement(
                                    sizes,
                                    model,
                                    scenario.latencyWeight(),
                                    scenario.throughputWeight());
                };
        boolean usesThresholdRelief =
                kind == Kind.FIRST_FIT_DECLARED
                        || kind == Kind.LEAST_LOADED_DECLARED
                        || kind == Kind.WITHOUT_GRADUAL_RELIEF;
        ReliefPolicy relief =
                usesThresholdRelief ? new ThresholdRelief() : new GradualRelief(model);
        return new Strategy(
                kind.name().toLowerCase(java.util.Locale.ROOT), sizes, model, placement, relief);
    }
}
