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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.BundleVersion;
import org.standlink.RendezvousHash;
import org.standlink.ServiceId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.ServiceSpecification;

/**
 * Tracks the upstreams of services, and determines for which idempotency keys this agent can
 * exclude that a request has run before.
 *
 * <p>After a start of the process, and for keys whose home has moved to this upstream, another
 * process may have run a request with the same key. Such keys are refused until the service's key
 * window has passed.
 *
 * <p>{@code RosterTracker} is thread-safe.
 */
final class RosterTracker {

    private final VmId self;
    private final long startMillis;

    /** The version of the last observed bundle. */
    private BundleVersion observedVersion = BundleVersion.NONE;

    /** The upstreams of each service in the last observed bundle. */
    private final Map<ServiceId, List<VmId>> rosters = new HashMap<>();

    /** The last change of the upstreams of each service. */
    private final Map<ServiceId, Change> changes = new HashMap<>();

    /** A change of upstreams; {@code previousUpstreams} is empty if they are unknown. */
    private record Change(List<VmId> previousUpstreams, long timeMillis) {}

    /**
     * Creates a tracker without an observed bundle.
     *
     * @param self this VM
     * @param startMillis when the process started, in milliseconds
     */
    RosterTracker(VmId self, long startMillis) {
        this.self = self;
        this.startMillis = startMillis;
    }

    /**
     * Gets the time until a request with a key can be accepted.
     *
     * @param bundle the bundle in force
     * @param service the service
     * @param key the key, with service and team
     * @param nowMillis the current time, in milliseconds
     * @return the time, in milliseconds; 0 if it can be accepted now
     */
    synchronized long getWaitMillis(
            Bundle bundle, ServiceSpecification service, String key, long nowMillis) {
        observeBundle(bundle, nowMillis);
        long windowMillis = service.keyWindowSeconds() * 1000;
        long waitMillis = Math.max(0, startMillis + windowMillis - nowMillis);
        Change change = changes.get(service.id());
        if (change != null && !wasHomeBefore(change, key)) {
            waitMillis = Math.max(waitMillis, change.timeMillis() + windowMillis - nowMillis);
        }
        return waitMillis;
    }

    /**
     * Updates the upstreams from the bundle in force.
     *
     * @param bundle the bundle in force
     * @param nowMillis the current time, in milliseconds
     */
    synchronized void observeBundle(Bundle bundle, long nowMillis) {
        if (bundle.version().equals(observedVersion)) {
            return;
        }
        // A bundle in between that was not observed may have given the keys another home.
        boolean isDirectSuccessor = bundle.base().equals(observedVersion);
        for (ServiceSpecification service : bundle.services()) {
            List<VmId> previousUpstreams = rosters.put(service.id(), service.upstreams());
            boolean isUnchanged =
                    isDirectSuccessor && service.upstreams().equals(previousUpstreams);
            if (!isUnchanged) {
                changes.put(
                        service.id(),
                        new Change(
                                isDirectSuccessor && previousUpstreams != null
                                        ? previousUpstreams
                                        : List.of(),
                                nowMillis));
            }
        }
        observedVersion = bundle.version();
    }

    // -----------------------------------------------------------------------
    private boolean wasHomeBefore(Change change, String key) {
        return !change.previousUpstreams().isEmpty()
                && RendezvousHash.home(key, change.previousUpstreams()).equals(self);
    }
}
