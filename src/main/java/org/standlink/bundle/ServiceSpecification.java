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
package org.standlink.bundle;

import java.util.List;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.VmId;

/**
 * A latency-critical service.
 *
 * <p>{@code ServiceSpecification} is thread-safe and immutable.
 *
 * @param id the service
 * @param mode whether standlink only observes the service or manages it
 * @param pathPrefix the prefix of the paths of its requests; the longest matching prefix wins
 * @param upstreams the VMs that serve it
 * @param slots the number of requests that one upstream runs concurrently
 * @param connections the number of connections that one upstream accepts
 * @param queue the number of requests that may be queued at one upstream
 * @param reserved the resources reserved for the service on each of its VMs
 * @param keyWindowSeconds how long answers to keyed requests are kept, in seconds
 * @param classes the classes of its requests
 */
public record ServiceSpecification(
        ServiceId id,
        Mode mode,
        String pathPrefix,
        List<VmId> upstreams,
        int slots,
        int connections,
        int queue,
        Resources reserved,
        long keyWindowSeconds,
        List<RequestClass> classes) {

    /**
     * Gets a digest of the upstreams, by which an agent detects that an entry uses another roster.
     *
     * @return the digest, the same in every process
     */
    public int rosterDigest() {
        return upstreams.toString().hashCode();
    }
}
