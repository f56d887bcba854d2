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

/** The leader as one agent process knows it, over channels in memory. */
final class SimulatedLeaderClient implements LeaderClient {

    private static final long CONNECT_MILLIS = 1000;

    private final SimulationEnvironment world;
    private final OneWayChannel.NetworkPath up;
    private final OneWayChannel.NetworkPath down;
    private final LeaderDirectory directory;
    private final SimulatedChannel.MessageReceiver agent;
    private LeaderNotice leader = new LeaderNotice(Epoch.NONE, "");
    private SimulatedChannel channel;
    private boolean connecting;

    /** Finds leaders by their addresses. */
    interface LeaderDirectory {

        /** Finds the leader at an address, null if no process listens there. */
        SimulatedLeader find(String address);
    }

    SimulatedLeaderClient(
            SimulationEnvironment world,
            OneWayChannel.NetworkPath up,
            OneWayChannel.NetworkPath down,
            LeaderDirectory directory,
            SimulatedChannel.MessageReceiver agent) {
        this.world = world;
        this.up = up;
        this.down = down;
        this.directory = directory;
        this.agent = agent;
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
                new StandlinkException(ErrorCode.PEER_UNREACHABLE, "simulated", "see the test"));
    }

    /** Gets the open channel, null if there is none. */
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
        boolean open = up.isOpen() && down.isOpen();
        world.schedule(open ? world.draw(1, 4) : CONNECT_MILLIS, () -> connected(target, open));
    }

    private void connected(LeaderNotice target, boolean open) {
        connecting = false;
        SimulatedLeader found = directory.find(target.address());
        if (open && found != null && target.equals(leader)) {
            channel =
                    new SimulatedChannel(
                            world,
                            new OneWayChannel(world, up),
                            new OneWayChannel(world, down),
                            found,
                            agent);
        }
    }
}
