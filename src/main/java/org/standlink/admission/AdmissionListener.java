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
package org.standlink.admission;

/**
 * Is notified of the backlog and of refused submissions, so that they can be shown as metrics.
 *
 * <p>It is called on the leader's event loop and must return at once.
 */
public interface AdmissionListener {

    /** Ignores all notifications. */
    AdmissionListener NONE =
            new AdmissionListener() {
                @Override
                public void backlogMeasured(
                        String service, int priority, double cpuSeconds, double startSeconds) {
                    // Ignored.
                }

                @Override
                public void backlogUnknown() {
                    // Ignored.
                }

                @Override
                public void submissionRefused(String queue) {
                    // Ignored.
                }
            };

    /**
     * Called about once a second with the backlog of a service and priority.
     *
     * @param service the service
     * @param priority the priority; 0 is the highest
     * @param cpuSeconds the estimated work that waits and runs, in seconds of one core
     * @param startSeconds the predicted time until a new job of this priority starts, in seconds
     */
    void backlogMeasured(String service, int priority, double cpuSeconds, double startSeconds);

    /**
     * Called when the backlogs measured so far are out of date, because this process does not lead
     * any more or a service has no workers left. Those that are still measured follow.
     */
    void backlogUnknown();

    /**
     * Called for each submission that the backlog has caused to be refused.
     *
     * @param queue the queue
     */
    void submissionRefused(String queue);
}
