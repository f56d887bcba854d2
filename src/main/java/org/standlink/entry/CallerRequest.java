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
package org.standlink.entry;

import java.util.Map;
import org.standlink.TeamId;

/**
 * A request of a caller.
 *
 * <p>{@code CallerRequest} is thread-safe and immutable if its body is not changed.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param path the path without the query
 * @param team the team of the caller
 * @param idempotencyKey the caller's idempotency key, null if none
 * @param waitMillis how long the caller waits, in milliseconds, 0 if not specified
 * @param headers the headers to pass on
 * @param body the body
 */
public record CallerRequest(
        String method,
        String target,
        String path,
        TeamId team,
        String idempotencyKey,
        long waitMillis,
        Map<String, String> headers,
        byte[] body) {}
