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

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/**
 * One connection that an agent made to a leader; the leader holds it as a message channel.
 *
 * <p>As the real one, it is closed by the agent's side if it goes silent while calls wait.
 */
final class SimulatedChannel implements MessageChannel {

    private static final long QUIET_MILLIS = 250;
    private static final long SIGN_MILLIS = 500;

    /** For how long a message that was read before the end may still be handed over. */
    private static final long HANDOVER_MILLIS = 300;

    private final SimulationEnvironment world;
    private final OneWayChannel up;
    private final OneWayChannel down;
    private final SimulatedLeader leader;
    private final MessageReceiver agent;
    private final Map<Long, CompletableFuture<Message>> calls = new LinkedHashMap<>();
    private long lastCall;
    private long heardAt;
    private long closedAt = Long.MAX_VALUE;
    private boolean goneForLeader;
    private boolean watched;

    /** What takes the leader's messages. */
    interface MessageReceiver {

        /** Takes a message that is not an answer; the agent may have ended. */
        void receive(Message message);
    }

    SimulatedChannel(
            SimulationEnvironment world,
            OneWayChannel up,
            OneWayChannel down,
            SimulatedLeader leader,
            MessageReceiver agent) {
        this.world = world;
        this.up = up;
        this.down = down;
        this.leader = leader;
        this.agent = agent;
        this.heardAt = world.now();
    }

    // ------------------------------------------------------- the leader's side
    @Override
    public void send(Message message) {
        if (goneForLeader) {
            throw lost();
        }
        down.send(() -> arrive(message));
    }

    @Override
    public void answer(long call, Message message) {
        if (!goneForLeader) {
            down.send(() -> answered(call, message));
        }
    }

    // -------------------------------------------------------- the agent's side
    boolean isClosed() {
        return closedAt != Long.MAX_VALUE;
    }

    SimulatedLeader getLeader() {
        return leader;
    }

    CompletableFuture<Message> call(Message message, long timeoutMillis) {
        long number = ++lastCall;
        CompletableFuture<Message> answer = new CompletableFuture<>();
        calls.put(number, answer);
        world.schedule(
                timeoutMillis,
                () -> {
                    if (calls.remove(number) != null) {
                        answer.completeExceptionally(new TimeoutException());
                    }
                });
        up.send(() -> leader.receive(this, number, message));
        if (!watched) {
            watched = true;
            world.schedule(QUIET_MILLIS, this::look);
        }
        return answer;
    }

    /** Closes the agent's side; the leader hears of it as of any message. */
    void close() {
        if (isClosed()) {
            return;
        }
        closedAt = world.now();
        up.send(() -> goneForLeader = true);
        Map<Long, CompletableFuture<Message>> waiting = new LinkedHashMap<>(calls);
        calls.clear();
        waiting.values().forEach(answer -> answer.completeExceptionally(lost()));
    }

    /** Holds up what the agent sends over this channel from now on. */
    void delay(long millis) {
        up.delay(millis);
    }

    /** Lets nothing through any more, without a word to either side. */
    void dropMessages(boolean upwards, boolean downwards) {
        if (upwards) {
            up.dropMessages();
        }
        if (downwards) {
            down.dropMessages();
        }
    }

    // -----------------------------------------------------------------------
    private void arrive(Message message) {
        heardAt = world.now();
        if (!isClosed() || world.now() - closedAt <= HANDOVER_MILLIS) {
            agent.receive(message);
        }
    }

    private void answered(long call, Message message) {
        heardAt = world.now();
        CompletableFuture<Message> answer = calls.remove(call);
        if (answer != null) {
            answer.complete(message);
        }
    }

    private void look() {
        if (isClosed() || calls.isEmpty()) {
            watched = false;
            return;
        }
        if (world.now() - heardAt < QUIET_MILLIS) {
            world.schedule(QUIET_MILLIS, this::look);
            return;
        }
        up.send(
                () -> {
                    if (leader.isResponsive()) {
                        down.send(() -> heardAt = world.now());
                    }
                });
        world.schedule(SIGN_MILLIS, this::judge);
    }

    private void judge() {
        if (world.now() - heardAt >= SIGN_MILLIS) {
            close();
        }
        look();
    }

    private static StandlinkException lost() {
        return new StandlinkException(ErrorCode.CONNECTION_LOST, "simulated", "see the test");
    }
}
