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
 * One TCP connection that carries frames both ways.
 *
 * <p>Answers are matched by the number of their call, never by order. When the connection is lost,
 * every call without an answer fails with CONNECTION_LOST: what became of it is not known here.
 *
 * <p>{@code Connection} is thread-safe.
 */
public final class Connection implements MessageChannel, AutoCloseable {

    /** The socket. */
    private final Socket socket;

    /** Where frames are written; guarded by itself. */
    private final DataOutputStream output;

    /** What answers messages that are not answers. */
    private final MessageHandler handler;

    /** What is told when the connection is gone. */
    private final Runnable whenClosed;

    /** The calls without an answer yet. */
    private final Map<Long, CompletableFuture<Message>> calls = new ConcurrentHashMap<>();

    /** The number of the last call. */
    private final AtomicLong lastCall = new AtomicLong();

    /** Whether the connection is gone. */
    private volatile boolean closed;

    /** Whether the other side has said that it leaves; set while {@link #output} is held. */
    private volatile boolean leftByPeer;

    /** Whether the other side has answered that it knows that this side leaves. */
    private volatile boolean leaveKnown;

    /** What the other side said it is, null until then. */
    private volatile Hello hello;

    /** When a frame came last, by {@link System#nanoTime}. */
    private volatile long heardAtNanos = System.nanoTime();

    /** Closes this connection if it goes silent while watched calls wait. */
    private final ConnectionMonitor watch = new ConnectionMonitor(this);

    /**
     * Constructor.
     *
     * @param socket the connected socket
     * @param handler what answers messages
     * @param whenClosed what is told when the connection is gone
     * @throws IOException if the socket fails
     */
    Connection(Socket socket, MessageHandler handler, Runnable whenClosed) throws IOException {
        this.socket = socket;
        this.handler = handler;
        this.whenClosed = whenClosed;
        socket.setTcpNoDelay(true);
        this.output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
    }

    /**
     * Starts reading.
     *
     * @param executor where the reading thread comes from
     */
    void start(Executor executor) {
        executor.execute(this::readAll);
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
        } catch (StandlinkException lost) {
            // The caller learns of the lost connection on its own side.
            close();
        }
    }

    /**
     * Sends a message and waits for its answer.
     *
     * @param message the message
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with CONNECTION_LOST or a {@code TimeoutException}
     */
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        long number = lastCall.incrementAndGet();
        CompletableFuture<Message> answer = new CompletableFuture<>();
        calls.put(number, answer);
        Guarded.then("call", answer, (value, failure) -> calls.remove(number));
        try {
            write(new Frame(number, false, message));
        } catch (StandlinkException lost) {
            answer.completeExceptionally(lost);
        }
        if (closed) {
            answer.completeExceptionally(lost(null));
        }
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request and waits for its answer, unless the other side has said that it leaves: once
     * that has been answered, nothing is sent any more that it would have to wait for.
     *
     * @param request the request
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    public CompletableFuture<Message> callUnlessPeerLeaving(Message request, long timeoutMillis) {
        synchronized (output) {
            return leftByPeer
                    ? CompletableFuture.failedFuture(leaves())
                    : call(request, timeoutMillis);
        }
    }

    /**
     * Tells the other side that this side leaves, until it has answered.
     *
     * @param timeoutMillis how long to wait before it is told again, in milliseconds
     */
    void announceLeaving(long timeoutMillis) {
        Guarded.then(
                "leave",
                call(new Leaving(), timeoutMillis),
                (answer, failure) -> {
                    leaveKnown = failure == null;
                    if (failure != null && !closed) {
                        announceLeaving(timeoutMillis);
                    }
                });
    }

    /** Says that nothing more is sent; the other side closes once it has read all. */
    void shutDownOutput() {
        try {
            synchronized (output) {
                socket.shutdownOutput();
            }
        } catch (IOException gone) {
            close();
        }
    }

    /**
     * Checks whether the other side has said that it leaves.
     *
     * @return true if so
     */
    public boolean isPeerLeaving() {
        return leftByPeer;
    }

    /**
     * Checks whether the other side knows that this side leaves.
     *
     * @return true if it has answered so
     */
    boolean isLeavingAcknowledged() {
        return leaveKnown;
    }

    /**
     * Sends a message and waits for its answer, and closes this connection if it goes silent
     * meanwhile, well before a time limit of seconds.
     *
     * @param message the message
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with CONNECTION_LOST, or a {@code TimeoutException} if the other
     *     side lives and takes longer
     */
    public CompletableFuture<Message> callMonitored(Message message, long timeoutMillis) {
        CompletableFuture<Message> answer = call(message, timeoutMillis);
        watch.start();
        return answer;
    }

    /**
     * Gets how long ago the other side was heard.
     *
     * @return the time, in milliseconds
     */
    long getMillisSinceReceived() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardAtNanos);
    }

    /**
     * Checks whether calls wait for an answer.
     *
     * @return true if so
     */
    boolean hasPendingCalls() {
        return !calls.isEmpty();
    }

    /**
     * Gets what the other side said it is.
     *
     * @return the greeting, null if it has not come yet
     */
    public Hello getHello() {
        return hello;
    }

    /**
     * Checks whether the connection is gone.
     *
     * @return true if gone
     */
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        synchronized (calls) {
            if (closed) {
                return;
            }
            closed = true;
        }
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
        calls.values().forEach(answer -> answer.completeExceptionally(lost(null)));
        whenClosed.run();
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
            throw lost(failure);
        }
    }

    private void readAll() {
        try (DataInputStream input =
                new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            while (!closed) {
                receive(FrameCodec.read(input));
            }
        } catch (IOException | StandlinkException ended) {
            // The end of the stream and a broken frame both end the connection.
            close();
        } finally {
            // Nothing is read any more, whatever was thrown; the other side must not wait.
            close();
        }
    }

    private void receive(Frame frame) {
        heardAtNanos = System.nanoTime();
        if (frame.answer()) {
            CompletableFuture<Message> waiting = calls.get(frame.call());
            if (waiting != null) {
                waiting.complete(frame.message());
            }
        } else if (frame.message() instanceof KeepAlive) {
            answer(frame.call(), frame.message());
        } else if (frame.message() instanceof Leaving) {
            synchronized (output) {
                leftByPeer = true;
                answer(frame.call(), frame.message());
            }
        } else if (frame.message() instanceof Hello greeting) {
            hello = greeting;
            handler.handle(this, frame.call(), greeting);
        } else {
            handler.handle(this, frame.call(), frame.message());
        }
    }

    private static StandlinkException leaves() {
        return new StandlinkException(
                ErrorCode.PEER_UNREACHABLE, "the peer leaves", "send the request elsewhere");
    }

    private static StandlinkException lost(Throwable cause) {
        return new StandlinkException(
                ErrorCode.CONNECTION_LOST,
                "the connection was lost",
                "ask the peer for the outcome before trying again",
                cause);
    }
}
