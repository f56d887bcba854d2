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
package org.standlink.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.Guarded;

/**
 * A TCP connection that carries frames in both directions.
 *
 * <p>Answers are matched to calls by number, never by order. When the connection is lost, every
 * pending call fails with CONNECTION_LOST; its outcome is unknown to this side.
 *
 * <p>{@code Connection} is thread-safe.
 */
public final class Connection implements MessageChannel, AutoCloseable {

    private final Socket socket;

    /** The stream to which frames are written; guarded by itself. */
    private final DataOutputStream output;

    /** Handles all messages that are not answers. */
    private final MessageHandler handler;

    /** Called once when the connection is closed. */
    private final Runnable closeListener;

    /** The calls that have not been answered yet, by number. */
    private final Map<Long, CompletableFuture<Message>> pendingCalls = new ConcurrentHashMap<>();

    private final AtomicLong lastCallNumber = new AtomicLong();

    private volatile boolean closed;

    /**
     * Whether the peer has announced that it is leaving; set while the lock of {@link #output} is
     * held.
     */
    private volatile boolean peerLeaving;

    /** Whether the peer has acknowledged that this side is leaving. */
    private volatile boolean leavingAcknowledged;

    /** The greeting of the peer, null until it is received. */
    private volatile Hello hello;

    /** When a frame was last received, by {@link System#nanoTime}. */
    private volatile long lastReceivedNanos = System.nanoTime();

    /** Closes this connection if it becomes unresponsive while a monitored call is pending. */
    private final ConnectionMonitor monitor = new ConnectionMonitor(this);

    /**
     * Creates a connection, which reads nothing until it is started.
     *
     * @param socket the connected socket
     * @param handler handles all messages that are not answers
     * @param closeListener called once when the connection is closed
     * @throws IOException if the socket fails
     */
    Connection(Socket socket, MessageHandler handler, Runnable closeListener) throws IOException {
        this.socket = socket;
        this.handler = handler;
        this.closeListener = closeListener;
        socket.setTcpNoDelay(true);
        this.output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
    }

    /**
     * Starts reading.
     *
     * @param executor runs the task that reads until the connection is closed
     */
    void start(Executor executor) {
        executor.execute(this::readFrames);
    }

    // -----------------------------------------------------------------------
    @Override
    public void send(Message message) {
        write(new Frame(0, false, message));
    }

    @Override
    public void answer(long call, Message message) {
        if (call == 0) {
            return;
        }
        try {
            write(new Frame(call, true, message));
        } catch (StandlinkException failure) {
            // The peer detects the lost connection itself.
            close();
        }
    }

    /**
     * Sends a message that the peer answers.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with CONNECTION_LOST or a {@code TimeoutException}
     */
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        long number = lastCallNumber.incrementAndGet();
        CompletableFuture<Message> answer = new CompletableFuture<>();
        pendingCalls.put(number, answer);
        Guarded.onCompletion("call", answer, (value, failure) -> pendingCalls.remove(number));
        try {
            write(new Frame(number, false, message));
        } catch (StandlinkException failure) {
            answer.completeExceptionally(failure);
        }
        if (closed) {
            answer.completeExceptionally(connectionLostException(null));
        }
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request that the peer answers, unless the peer has announced that it is leaving. Once
     * that announcement has been acknowledged, the peer can rely on receiving no more requests.
     *
     * @param request the request
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    public CompletableFuture<Message> callUnlessPeerLeaving(Message request, long timeoutMillis) {
        synchronized (output) {
            return peerLeaving
                    ? CompletableFuture.failedFuture(peerLeavingException())
                    : call(request, timeoutMillis);
        }
    }

    /**
     * Announces to the peer that this side is leaving, and repeats that until it is acknowledged.
     *
     * @param timeoutMillis how long to wait for the acknowledgement before the announcement is
     *     repeated, in milliseconds
     */
    void announceLeaving(long timeoutMillis) {
        Guarded.onCompletion(
                "leave",
                call(new Leaving(), timeoutMillis),
                (answer, failure) -> {
                    leavingAcknowledged = failure == null;
                    if (failure != null && !closed) {
                        announceLeaving(timeoutMillis);
                    }
                });
    }

    /** Shuts down the output; the peer closes the connection once it has read everything. */
    void shutDownOutput() {
        try {
            synchronized (output) {
                socket.shutdownOutput();
            }
        } catch (IOException failure) {
            close();
        }
    }

    /**
     * Checks whether the peer is leaving.
     *
     * @return true if the peer has announced that it is leaving
     */
    public boolean isPeerLeaving() {
        return peerLeaving;
    }

    /**
     * Checks whether the peer knows that this side is leaving.
     *
     * @return true if the peer has acknowledged the announcement
     */
    boolean isLeavingAcknowledged() {
        return leavingAcknowledged;
    }

    /**
     * Sends a message that the peer answers, and closes this connection if it becomes unresponsive
     * meanwhile. That is detected within about a second, well before time limits of several
     * seconds.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with CONNECTION_LOST, or with a {@code TimeoutException} if the
     *     peer is responsive but takes longer
     */
    public CompletableFuture<Message> callMonitored(Message message, long timeoutMillis) {
        CompletableFuture<Message> answer = call(message, timeoutMillis);
        monitor.start();
        return answer;
    }

    /**
     * Gets the time since the last frame was received.
     *
     * @return the time, in milliseconds
     */
    long getMillisSinceReceived() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReceivedNanos);
    }

    /**
     * Checks whether there are calls that have not been answered.
     *
     * @return true if there is at least one pending call
     */
    boolean hasPendingCalls() {
        return !pendingCalls.isEmpty();
    }

    /**
     * Gets the greeting of the peer.
     *
     * @return the greeting, null if it has not been received yet
     */
    public Hello getHello() {
        return hello;
    }

    /**
     * Checks whether the connection is closed.
     *
     * @return true if it was closed or lost
     */
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        synchronized (pendingCalls) {
            if (closed) {
                return;
            }
            closed = true;
        }
        try {
            socket.close();
        } catch (IOException ignored) {
            // There is nothing left to release.
        }
        pendingCalls
                .values()
                .forEach(answer -> answer.completeExceptionally(connectionLostException(null)));
        closeListener.run();
    }

    // -----------------------------------------------------------------------
    private void write(Frame frame) {
        byte[] bytes = FrameCodec.encode(frame);
        try {
            synchronized (output) {
                FrameCodec.write(output, bytes);
            }
        } catch (IOException failure) {
            close();
            throw connectionLostException(failure);
        }
    }

    private void readFrames() {
        try (DataInputStream input =
                new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            while (!closed) {
                receive(FrameCodec.read(input));
            }
        } catch (IOException | StandlinkException failure) {
            // The end of the stream and a malformed frame both end the connection.
            close();
        } finally {
            // Nothing is read from here on, whatever was thrown, so the peer must not wait.
            close();
        }
    }

    private void receive(Frame frame) {
        lastReceivedNanos = System.nanoTime();
        if (frame.answer()) {
            CompletableFuture<Message> pending = pendingCalls.get(frame.call());
            if (pending != null) {
                pending.complete(frame.message());
            }
        } else if (frame.message() instanceof KeepAlive) {
            answer(frame.call(), frame.message());
        } else if (frame.message() instanceof Leaving) {
            synchronized (output) {
                peerLeaving = true;
                answer(frame.call(), frame.message());
            }
        } else if (frame.message() instanceof Hello greeting) {
            hello = greeting;
            handler.handle(this, frame.call(), greeting);
        } else {
            handler.handle(this, frame.call(), frame.message());
        }
    }

    private static StandlinkException peerLeavingException() {
        return new StandlinkException(
                ErrorCode.PEER_UNREACHABLE,
                "the peer is leaving",
                "send the request to another peer");
    }

    private static StandlinkException connectionLostException(Throwable cause) {
        return new StandlinkException(
                ErrorCode.CONNECTION_LOST,
                "the connection was lost",
                "ask the peer for the outcome before trying again",
                cause);
    }
}
