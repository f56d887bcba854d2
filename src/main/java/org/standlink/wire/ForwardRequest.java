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
import org.standlink.RequestClassId;
import org.standlink.RequestId;
import org.standlink.ServiceId;
import org.standlink.TeamId;

/**
 * A request that an entry forwards to an agent.
 *
 * <p>{@code ForwardRequest} is thread-safe and immutable if its body is not changed.
 *
 * @param id the id of this attempt
 * @param service the requested service
 * @param requestClass the class of the request
 * @param team the team of the caller
 * @param idempotencyKey the caller's idempotency key, null if none
 * @param roster the digest of the service's upstreams according to the entry's bundle
 * @param budgetMillis how long the caller will still wait, in milliseconds
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers to pass on
 * @param body the body
 */
public record ForwardRequest(
        RequestId id,
        ServiceId service,
        RequestClassId requestClass,
        TeamId team,
        String idempotencyKey,
        int roster,
        long budgetMillis,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body)
        implements Message {}
