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
 * A simulated connection from an agent to a leader, which the leader uses as a message channel.
 *
 * <p>Like the real connection, it is closed by the agent's side if the leader does not answer a
 * keep-alive while calls are pending.
 */
final class SimulatedChannel implements MessageChannel {

    private static final long IDLE_MILLIS = 250;
    private static final long KEEP_ALIVE_TIMEOUT_MILLIS = 500;

    /** How long after the close a message that was already read may still be delivered. */
    private static final long DELIVERY_AFTER_CLOSE_MILLIS = 300;

    private final SimulationEnvironment environment;
    private final OneWayChannel uplink;
    private final OneWayChannel downlink;
    private final SimulatedLeader leader;
    private final MessageReceiver receiver;
    private final Map<Long, CompletableFuture<Message>> pendingCalls = new LinkedHashMap<>();
    private long lastCall;
    private long lastReceivedAt;
    private long closedAt = Long.MAX_VALUE;
    private boolean closedForLeader;
    private boolean monitored;

    /** The agent's receiver of messages from the leader. */
    interface MessageReceiver {

        /** Receives a message that is not an answer; the agent process may have ended already. */
        void receive(Message message);
    }

    SimulatedChannel(
            SimulationEnvironment environment,
            OneWayChannel uplink,
            OneWayChannel downlink,
            SimulatedLeader leader,
            MessageReceiver receiver) {
        this.environment = environment;
        this.uplink = uplink;
        this.downlink = downlink;
        this.leader = leader;
        this.receiver = receiver;
        this.lastReceivedAt = environment.now();
    }

    // ------------------------------------------------------- the leader's side
    @Override
    public void send(Message message) {
        if (closedForLeader) {
            throw connectionLost();
        }
        downlink.send(() -> deliver(message));
    }

    @Override
    public void answer(long call, Message message) {
        if (!closedForLeader) {
            downlink.send(() -> completeCall(call, message));
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
        pendingCalls.put(number, answer);
        environment.schedule(
                timeoutMillis,
                () -> {
                    if (pendingCalls.remove(number) != null) {
                        answer.completeExceptionally(new TimeoutException());
                    }
                });
        uplink.send(() -> leader.receive(this, number, message));
        if (!monitored) {
            monitored = true;
            environment.schedule(IDLE_MILLIS, this::checkIdle);
        }
        return answer;
    }

    /** Closes the agent's side; the leader learns of it with the delay of a message. */
    void close() {
        if (isClosed()) {
            return;
        }
        closedAt = environment.now();
        uplink.send(() -> closedForLeader = true);
        Map<Long, CompletableFuture<Message>> failedCalls = new LinkedHashMap<>(pendingCalls);
        pendingCalls.clear();
        failedCalls.values().forEach(answer -> answer.completeExceptionally(connectionLost()));
    }

    /** Delays the messages that the agent sends over this channel from now on. */
    void delay(long millis) {
        uplink.delay(millis);
    }

    /** Drops all further messages of the given directions without notifying either side. */
    void dropMessages(boolean fromAgent, boolean fromLeader) {
        if (fromAgent) {
            uplink.dropMessages();
        }
        if (fromLeader) {
            downlink.dropMessages();
        }
    }

    // -----------------------------------------------------------------------
    private void deliver(Message message) {
        lastReceivedAt = environment.now();
        if (!isClosed() || environment.now() - closedAt <= DELIVERY_AFTER_CLOSE_MILLIS) {
            receiver.receive(message);
        }
    }

    private void completeCall(long call, Message message) {
        lastReceivedAt = environment.now();
        CompletableFuture<Message> answer = pendingCalls.remove(call);
        if (answer != null) {
            answer.complete(message);
        }
    }

    private void checkIdle() {
        if (isClosed() || pendingCalls.isEmpty()) {
            monitored = false;
            return;
        }
        if (environment.now() - lastReceivedAt < IDLE_MILLIS) {
            environment.schedule(IDLE_MILLIS, this::checkIdle);
            return;
        }
        uplink.send(
                () -> {
                    if (leader.isResponsive()) {
                        downlink.send(() -> lastReceivedAt = environment.now());
                    }
                });
        environment.schedule(KEEP_ALIVE_TIMEOUT_MILLIS, this::checkKeepAlive);
    }

    private void checkKeepAlive() {
        if (environment.now() - lastReceivedAt >= KEEP_ALIVE_TIMEOUT_MILLIS) {
            close();
        }
        checkIdle();
    }

    private static StandlinkException connectionLost() {
        return new StandlinkException(
                ErrorCode.CONNECTION_LOST, "simulated connection loss", "see the test");
    }
}
