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
package org.standlink.agent;

import java.util.concurrent.CompletableFuture;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;

/** Runs requests at the upstream on the agent's VM. */
public interface UpstreamPort {

    /**
     * Runs a request.
     *
     * @param request the request
     * @return the outcome, which never completes exceptionally: "not run" only if nothing was sent,
     *     "unknown" if anything was sent and no complete answer was received
     */
    CompletableFuture<ForwardAnswer> run(ForwardRequest request);
}
