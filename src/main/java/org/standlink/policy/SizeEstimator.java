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

import org.standlink.Resources;

/** Estimates the resources that a task uses. */
public interface SizeEstimator {

    /**
     * Learns from a measurement.
     *
     * @param batchClass the class of the task
     * @param usage the measured use
     */
    void observe(String batchClass, Resources usage);

    /**
     * Estimates the resources that a task uses.
     *
     * @param batchClass the class of the task
     * @param declared the declared size
     * @return the resources to grant to the task
     */
    Resources estimate(String batchClass, Resources declared);

    /**
     * Returns the baseline, which uses the declared sizes.
     *
     * @return the estimator
     */
    static SizeEstimator ofDeclared() {
        return new SizeEstimator() {
            @Override
            public void observe(String batchClass, Resources usage) {
                // The baseline does not learn.
            }

            @Override
            public Resources estimate(String batchClass, Resources declared) {
                return declared;
            }
        };
    }
}
