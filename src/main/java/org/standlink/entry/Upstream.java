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
 * What an entry knows of the agent beside one upstream.
 *
 * <p>{@code Upstream} is thread-safe.
 */
final class Upstream {

    /** The VM. */
    private final VmId vm;

    /** The agent. */
    private final PeerConnection peer;

    /** Requests sent from here and not answered. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** What the agent last told. */
    private volatile UpstreamLoad load = new UpstreamLoad(0, false, false);

    /** Whether the platform lists the VM as leaving. */
    private volatile boolean listedLeaving;

    /**
     * Constructor.
     *
     * @param vm the VM
     * @param peer the agent
     */
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

    void setLoad(UpstreamLoad told) {
        load = told;
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
     * Gets the requests running or queued there.
     *
     * @return what the agent told, or what was sent from here if that is more
     */
    int getOutstanding() {
        return Math.max(load.outstanding(), inFlight.get());
    }

    /**
     * Checks whether new requests may go there.
     *
     * @return true if it is connected and neither leaving nor failing
     */
    boolean isOpen() {
        Connection connection = peer.getOpenConnection();
        boolean greeted =
                connection != null && connection.getHello() != null && !connection.isPeerLeaving();
        return greeted && !isLeaving() && !load.failing();
    }

    /**
     * Checks whether the upstream is leaving, by any sign.
     *
     * @return true if so
     */
    boolean isLeaving() {
        return load.leaving() || listedLeaving;
    }
}
