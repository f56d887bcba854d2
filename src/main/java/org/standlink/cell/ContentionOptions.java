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
package org.standlink.cell;

import org.standlink.ordering.OrderMetrics;
import org.standlink.ordering.ServiceOrders;
import org.standlink.prediction.JobDurationPredictor;

/**
 * Which of the decisions for contended workers a leader makes. Each also has a condition on the
 * configuration and the load, without which the decisions are the same as with it turned off.
 *
 * <p>{@code ContentionOptions} is thread-safe and immutable.
 *
 * @param valueDensityOrder whether jobs are ordered by their predicted punctuality and their value
 *     per remaining work while best-effort tasks wait
 * @param backlogAdmission whether jobs that the backlog makes useless are refused
 */
public record ContentionOptions(boolean valueDensityOrder, boolean backlogAdmission) {

    /** All decisions turned off. */
    public static final ContentionOptions NONE = new ContentionOptions(false, false);

    /**
     * Creates the decision on the order of jobs for a leader.
     *
     * @param metrics receives the figures of the predictions
     * @return the decision, which has learned nothing
     */
    ServiceOrders newOrders(OrderMetrics metrics) {
        return new ServiceOrders(valueDensityOrder, new JobDurationPredictor(), metrics);
    }
}
