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
package org.standlink.dayreport;

/**
 * The kind of a rejection.
 *
 * <p>{@code Rejection} is thread-safe and immutable.
 *
 * @param status the HTTP status
 * @param request the kind of request, empty if it was not known
 * @param queue the queue, empty if it was not known
 * @param reason the reason
 */
record Rejection(long status, String request, String queue, String reason) {

    /** Rejections beyond the limit of kinds. */
    static final Rejection OTHER = new Rejection(0, "", "", "other reasons");

    /** The status for a path that no queue takes, as the gateway answers it. */
    private static final long NO_QUEUE_STATUS = 404;

    /** The status for a malformed request, as the gateway answers it. */
    private static final long MALFORMED_STATUS = 400;

    /**
     * Creates the kind of an answer.
     *
     * @param answered a line {@code answered}
     * @return the kind
     */
    static Rejection ofAnswer(LogLine answered) {
        return new Rejection(
                answered.number("status"),
                answered.text("kind"),
                answered.text("queue"),
                answered.reason("reason"));
    }

    /** Creates the kind of a request whose path no queue takes. */
    static Rejection ofNoQueue() {
        return new Rejection(NO_QUEUE_STATUS, "", "", "no queue takes this path");
    }

    /**
     * Creates the kind of a malformed request.
     *
     * @param refused a line {@code request-refused}
     * @return the kind
     */
    static Rejection ofMalformed(LogLine refused) {
        return new Rejection(MALFORMED_STATUS, "", "", refused.reason("cause"));
    }
}
