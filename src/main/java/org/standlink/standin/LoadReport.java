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
package org.standlink.standin;

import java.util.List;

/**
 * The outcomes of the requests of a load.
 *
 * <p>{@code LoadReport} is thread-safe and immutable.
 *
 * @param sent the number of requests sent
 * @param correct the number of requests whose answer was complete and their own
 * @param notRun the number of requests reported as not run
 * @param unknown the number of requests whose outcome was reported as unknown
 * @param incorrect the number of requests with another answer, or none
 * @param failureDetails details of the first incorrect or unknown answers
 * @param medianMicros the median latency of the correct answers, in microseconds
 * @param p99Micros the 99th percentile of the latency of the correct answers, in microseconds
 * @param perSecond the number of correct answers per second
 */
public record LoadReport(
        int sent,
        int correct,
        int notRun,
        int unknown,
        int incorrect,
        List<String> failureDetails,
        long medianMicros,
        long p99Micros,
        double perSecond) {

    /**
     * Checks whether every request got its correct answer.
     *
     * @return true if all did
     */
    public boolean isEveryAnswerCorrect() {
        return correct == sent;
    }

    @Override
    public String toString() {
        String line =
                String.format(
                        "requests %d of %d (not run %d, unknown %d, wrong %d), p50 %d us, p99 %d us, %.0f/s",
                        correct,
                        sent,
                        notRun,
                        unknown,
                        incorrect,
                        medianMicros,
                        p99Micros,
                        perSecond);
        return failureDetails.isEmpty()
                ? line
                : line + "\n  " + String.join("\n  ", failureDetails);
    }
}
