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
 * Decides whether a submitted job is accepted.
 *
 * <p>Implementations need not be thread-safe; they are used on the leader's event loop.
 */
public interface AdmissionPolicy {

    /**
     * Decides about a job that was never accepted before.
     *
     * @param job the submitted job
     * @param backlog the work that waits and runs on the workers of its service
     * @param now the time on the leader's clock, in milliseconds
     * @return the decision
     */
    AdmissionDecision decide(JobRequest job, Backlog backlog, long now);
}
