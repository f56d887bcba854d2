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
 * A set of policies to be measured together.
 *
 * <p>{@code Strategy} is immutable, but the policies in it learn; make a new one for each run.
 *
 * @param name the name
 * @param sizes estimates what tasks take
 * @param model learns interference
 * @param placement chooses workers
 * @param relief protects services
 */
public record Strategy(
        String name,
        SizeEstimator sizes,
        InterferenceModel model,
        PlacementPolicy placement,
        ReliefPolicy relief) {

    /** The strategies measured. */
    public enum Kind {
        /** The baseline of the aim: first fit on declared sizes, threshold relief. */
        FIRST_FIT_DECLARED,
        /** The least loaded worker on declared sizes, threshold relief. */
        LEAST_LOADED_DECLARED,
        /** Everything but learning. */
        NO_LEARNING,
        /** What the leader uses. */
        STANDLINK,
        /** The leader's policies with declared sizes. */
        WITHOUT_LEARNED_SIZES,
        /** The leader's policies with placement blind to interference. */
        WITHOUT_INTERFERENCE,
        /** The leader's policies with threshold relief. */
        WITHOUT_GRADUAL_RELIEF
    }

    /**
     * Makes a strategy.
     *
     * @param kind the kind
     * @param scenario gives the weights
     * @return the strategy
     */
    public static Strategy of(Kind kind, Scenario scenario) {
        boolean declared =
                kind == Kind.FIRST_FIT_DECLARED
                        || kind == Kind.LEAST_LOADED_DECLARED
                        || kind == Kind.NO_LEARNING
                        || kind == Kind.WITHOUT_LEARNED_SIZES;
        SizeEstimator sizes = declared ? SizeEstimator.ofDeclared() : new LearnedSizes();
        boolean blind = kind == Kind.NO_LEARNING || kind == Kind.WITHOUT_INTERFERENCE;
        InterferenceModel model = blind ? InterferenceModel.ofNone() : new LearnedInterference();
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
        boolean threshold =
                kind == Kind.FIRST_FIT_DECLARED
                        || kind == Kind.LEAST_LOADED_DECLARED
                        || kind == Kind.WITHOUT_GRADUAL_RELIEF;
        ReliefPolicy relief = threshold ? new ThresholdRelief() : new GradualRelief(model);
        return new Strategy(
                kind.name().toLowerCase(java.util.Locale.ROOT), sizes, model, placement, relief);
    }
}
