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
 * Knows for which keys this agent may vouch that a request has not run before.
 *
 * <p>After a start, and for the keys whose home has moved here, another process may have run a
 * request under the same key. Such keys are refused until the service's window has passed.
 *
 * <p>{@code RosterTracker} is thread-safe.
 */
final class RosterTracker {

    /** This VM. */
    private final VmId self;

    /** When the process started, in milliseconds. */
    private final long startMillis;

    /** The version last seen. */
    private BundleVersion seen = BundleVersion.NONE;

    /** The upstreams of each service as last seen. */
    private final Map<ServiceId, List<VmId>> rosters = new HashMap<>();

    /** The last change of upstreams of each service. */
    private final Map<ServiceId, Change> changes = new HashMap<>();

    /** A change of upstreams; {@code before} is empty if what went before is not known. */
    private record Change(List<VmId> before, long atMillis) {}

    /**
     * Constructor.
     *
     * @param self this VM
     * @param startMillis when the process started, in milliseconds
     */
    RosterTracker(VmId self, long startMillis) {
        this.self = self;
        this.startMillis = startMillis;
    }

    /**
     * Checks whether a key may be vouched for.
     *
     * @param bundle the bundle in force
     * @param service the service
     * @param key the key, with service and team
     * @param nowMillis the time, in milliseconds
     * @return how long to wait until it may, in milliseconds; 0 if it may now
     */
    synchronized long getWaitMillis(
            Bundle bundle, ServiceSpecification service, String key, long nowMillis) {
        observeBundle(bundle, nowMillis);
        long window = service.keyWindowSeconds() * 1000;
        long wait = Math.max(0, startMillis + window - nowMillis);
        Change change = changes.get(service.id());
        if (change != null && !wasHome(change, key)) {
            wait = Math.max(wait, change.atMillis() + window - nowMillis);
        }
        return wait;
    }

    /**
     * Notes the bundle in force.
     *
     * @param bundle the bundle
     * @param nowMillis the time, in milliseconds
     */
    synchronized void observeBundle(Bundle bundle, long nowMillis) {
        if (bundle.version().equals(seen)) {
            return;
        }
        // After a version that was not seen, keys may have been at home elsewhere in between.
        boolean next = bundle.base().equals(seen);
        for (ServiceSpecification service : bundle.services()) {
            List<VmId> before = rosters.put(service.id(), service.upstreams());
            boolean same = next && service.upstreams().equals(before);
            if (!same) {
                changes.put(
                        service.id(),
                        new Change(next && before != null ? before : List.of(), nowMillis));
            }
        }
        seen = bundle.version();
    }

    // -----------------------------------------------------------------------
    private boolean wasHome(Change change, String key) {
        return !change.before().isEmpty() && RendezvousHash.home(key, change.before()).equals(self);
    }
}
