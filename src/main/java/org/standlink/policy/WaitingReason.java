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

/** The reasons why a task waits. The texts are shown to operators. */
public enum WaitingReason {
    /** The placement rules exclude all workers; the job can never run as it is defined. */
    NO_PERMITTED_WORKER("can never run: its placement rules or failures leave no worker"),
    /** No permitted worker is large enough; the job can never run as it is defined. */
    TOO_LARGE("can never run: it is larger than every permitted worker"),
    /** All workers that could run it are leaving, unresponsive or excluded after failures. */
    NO_USABLE_WORKER("the workers that could take it are leaving, silent or set aside"),
    /** No worker has enough free capacity at present. */
    NO_ROOM("no worker has room now"),
    /** There is enough free capacity, but a service there would miss its target. */
    WOULD_DISTURB("it would disturb a service wherever there is room"),
    /** The team's quota is used up. */
    OVER_QUOTA("its team's quota is used up"),
    /** The quota is smaller than one task; the job can never run as it is defined. */
    QUOTA_TOO_SMALL("can never run: it is larger than its team's quota"),
    /** The job has failed on several workers and is suspended until its definition changes. */
    KEEPS_FAILING("it failed on several workers and is not tried again until its job changes"),
    /** The job is only observed, so its tasks are not assigned. */
    OBSERVED("its job is only observed, not managed");

    private final String text;

    WaitingReason(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
