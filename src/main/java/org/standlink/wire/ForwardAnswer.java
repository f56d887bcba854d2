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
package org.standlink.wire;

import java.util.Map;
import org.standlink.Outcome;

/**
 * The outcome of a forwarded request.
 *
 * <p>{@code ForwardAnswer} is thread-safe and immutable if its body is not changed.
 *
 * @param outcome answered, not run or unknown
 * @param status the HTTP status of the upstream, 0 unless answered
 * @param headers the headers of the upstream's answer
 * @param body the body of the upstream's answer, empty unless answered
 * @param reason why the request did not run or its outcome is unknown, empty if answered
 * @param retryAfterMillis how long the caller should wait before a retry, in milliseconds, 0 if
 *     answered
 * @param outstanding how many requests were running or queued at the agent after this one
 */
public record ForwardAnswer(
        Outcome outcome,
        int status,
        Map<String, String> headers,
        byte[] body,
        String reason,
        long retryAfterMillis,
        int outstanding)
        implements Message {}
