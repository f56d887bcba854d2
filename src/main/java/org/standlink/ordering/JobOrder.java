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
import java.util.List;

/**
 * Orders the unfinished jobs of one priority.
 *
 * <p>Implementations need not be thread-safe; they are used on the leader's event loop.
 */
public interface JobOrder {

    /**
     * Creates the order of a scheduling round.
     *
     * @param jobs all unfinished jobs of the round
     * @param now the time on the leader's clock, in milliseconds
     * @return a comparator that puts first the job to be scheduled first; jobs that compare as
     *     equal are scheduled in the order of acceptance
     */
    Comparator<JobProfile> forRound(List<JobProfile> jobs, long now);
}
