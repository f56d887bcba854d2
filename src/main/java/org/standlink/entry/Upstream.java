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

import java.util.concurrent.atomic.AtomicInteger;
import org.standlink.VmId;
import org.standlink.wire.Connection;
import org.standlink.wire.PeerConnection;
import org.standlink.wire.UpstreamLoad;

/**
 * The state of an upstream and its agent, as known to an entry.
 *
 * <p>{@code Upstream} is thread-safe.
 */
final class Upstream {

    private final VmId vm;

    /** The connection to the agent. */
    private final PeerConnection peer;

    /** The number of requests that this entry has sent and that have not ended. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** The load that the agent last reported. */
    private volatile UpstreamLoad load = new UpstreamLoad(0, false, false);

    /** Whether the platform lists the VM as leaving. */
    private volatile boolean listedLeaving;

    Upstream(VmId vm, PeerConnection peer) {
        this.vm = vm;
        this.peer = peer;
    }

    VmId getVm() {
        return vm;
    }

    PeerConnection getPeer() {
        return peer;
    }

    void setLoad(UpstreamLoad newLoad) {
        load = newLoad;
    }

    void setListedLeaving(boolean leaving) {
        listedLeaving = leaving;
    }

    void recordSend() {
        inFlight.incrementAndGet();
    }

    void recordEnd() {
        inFlight.decrementAndGet();
    }

    /**
     * Gets the number of requests running or queued at the upstream.
     *
     * @return the number reported by the agent, or the number in flight from this entry if greater
     */
    int getOutstanding() {
        return Math.max(load.outstanding(), inFlight.get());
    }

    /**
     * Checks whether new requests may be sent to the upstream.
     *
     * @return true if the agent is connected and the upstream is neither leaving nor failing
     */
    boolean isOpen() {
        Connection connection = peer.getOpenConnection();
        boolean connectionUsable =
                connection != null && connection.getHello() != null && !connection.isPeerLeaving();
        return connectionUsable && !isLeaving() && !load.failing();
    }

    /**
     * Checks whether the upstream is leaving.
     *
     * @return true if the agent reports it as leaving or the platform lists it as leaving
     */
    boolean isLeaving() {
        return load.leaving() || listedLeaving;
    }
}
