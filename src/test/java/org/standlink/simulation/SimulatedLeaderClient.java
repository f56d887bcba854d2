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
package org.standlink.simulation;

import java.util.concurrent.CompletableFuture;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.election.LeaderClient;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;

/** The leader client of one agent process, over simulated channels. */
final class SimulatedLeaderClient implements LeaderClient {

    private static final long CONNECT_TIMEOUT_MILLIS = 1000;

    private final SimulationEnvironment environment;
    private final OneWayChannel.NetworkPath uplink;
    private final OneWayChannel.NetworkPath downlink;
    private final LeaderDirectory directory;
    private final SimulatedChannel.MessageReceiver receiver;
    private LeaderNotice leader = new LeaderNotice(Epoch.NONE, "");
    private SimulatedChannel channel;
    private boolean connecting;

    /** Finds leaders by their addresses. */
    interface LeaderDirectory {

        /** Finds the leader at an address, or returns null if no process listens there. */
        SimulatedLeader find(String address);
    }

    SimulatedLeaderClient(
            SimulationEnvironment environment,
            OneWayChannel.NetworkPath uplink,
            OneWayChannel.NetworkPath downlink,
            LeaderDirectory directory,
            SimulatedChannel.MessageReceiver receiver) {
        this.environment = environment;
        this.uplink = uplink;
        this.downlink = downlink;
        this.directory = directory;
        this.receiver = receiver;
    }

    @Override
    public void offer(LeaderNotice notice, String source) {
        int order = notice.epoch().compareTo(leader.epoch());
        if (order < 0 || notice.equals(leader) || order == 0 && notice.address().isEmpty()) {
            return;
        }
        leader = notice;
        close();
    }

    @Override
    public LeaderNotice getLeader() {
        return leader;
    }

    @Override
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        if (channel != null && !channel.isClosed()) {
            return channel.call(message, timeoutMillis);
        }
        connect();
        return CompletableFuture.failedFuture(
                new StandlinkException(
                        ErrorCode.PEER_UNREACHABLE,
                        "simulated: no connection to the leader",
                        "see the test"));
    }

    /** Gets the open channel, or null if there is none. */
    SimulatedChannel getOpenChannel() {
        return channel == null || channel.isClosed() ? null : channel;
    }

    /** Closes the open channel. */
    void close() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    // -----------------------------------------------------------------------
    private void connect() {
        if (connecting || leader.address().isEmpty()) {
            return;
        }
        connecting = true;
        LeaderNotice target = leader;
        boolean open = uplink.isOpen() && downlink.isOpen();
        environment.schedule(
                open ? environment.draw(1, 4) : CONNECT_TIMEOUT_MILLIS,
                () -> completeConnect(target, open));
    }

    private void completeConnect(LeaderNotice target, boolean open) {
        connecting = false;
        SimulatedLeader simulatedLeader = directory.find(target.address());
        if (open && simulatedLeader != null && target.equals(leader)) {
            channel =
                    new SimulatedChannel(
                            environment,
                            new OneWayChannel(environment, uplink),
                            new OneWayChannel(environment, downlink),
                            simulatedLeader,
                            receiver);
        }
    }
}
