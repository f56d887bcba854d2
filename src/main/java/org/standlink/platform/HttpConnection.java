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
package org.standlink.platform;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;

/**
 * A persistent connection, used by one call at a time.
 *
 * <p>{@code HttpConnection} is not thread-safe, except that it may be closed at any time, which
 * ends a pending read or write.
 */
final class HttpConnection {

    /** The connect timeout, in milliseconds; connecting takes a few on the platform's links. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1000;

    /** The size of the read buffer, in bytes; holds most answers. */
    private static final int BUFFER_BYTES = 8192;

    /**
     * The maximum number of bytes of one read or write. The JDK retains a native buffer of this
     * size for each thread.
     */
    private static final int MAX_TRANSFER_BYTES = 65_536;

    /**
     * The size of the socket's send buffer, in bytes. In a larger one a whole request could wait
     * for a thin link after it was written.
     */
    private static final int SEND_BUFFER_BYTES = 65_536;

    /**
     * The maximum number of written bytes that have not reached the peer, which the send buffer and
     * the buffers on the way contain.
     */
    private static final int MAX_BUFFERED_BYTES = 4 * SEND_BUFFER_BYTES;

    private final String address;

    private final int generation;

    private final SocketChannel channel;

    /** The bytes that were received and not yet read. */
    private final ByteBuffer received = ByteBuffer.allocate(BUFFER_BYTES).limit(0);

    /** The timeout of the current call. */
    private volatile CallTimeout timeout;

    private volatile boolean overdue;

    private long idleSinceNanos;

    /** Whether any byte of the current call may have been sent. */
    private boolean sent;

    /** The number of bytes of the current request that were written. */
    private int requestBytes;

    /** The number of bytes of the answer of the current call that were received. */
    private long answerBytes;

    /** When the last of them was received, by {@link System#nanoTime}. */
    private long lastReceiptNanos;

    /**
     * Creates a connection that is not open yet.
     *
     * @param address the host and port
     * @param generation the generation of the pool
     * @param timeout the timeout of the first call
     * @throws IOException if no socket can be created
     */
    HttpConnection(String address, int generation, CallTimeout timeout) throws IOException {
        this.address = address;
        this.generation = generation;
        this.timeout = timeout;
        this.channel = SocketChannel.open();
    }

    String getAddress() {
        return address;
    }

    int getGeneration() {
        return generation;
    }

    long getTimeoutNanos() {
        return timeout.getEndNanos();
    }

    void setTimeout(CallTimeout timeout) {
        this.timeout = timeout;
    }

    long getIdleSinceNanos() {
        return idleSinceNanos;
    }

    void setIdleSinceNanos(long idleSinceNanos) {
        this.idleSinceNanos = idleSinceNanos;
    }

    boolean isOverdue() {
        return overdue;
    }

    boolean isSent() {
        return sent;
    }

    boolean isAnswered() {
        return answerBytes > 0;
    }

    int getRequestBytes() {
        return requestBytes;
    }

    long getAnswerBytes() {
        return answerBytes;
    }

    long getLastReceiptNanos() {
        return lastReceiptNanos;
    }

    boolean hasUnreadBytes() {
        return received.hasRemaining();
    }

    // -----------------------------------------------------------------------
    /**
     * Opens the connection.
     *
     * @throws ConnectException if this is not possible before the timeout of the call or of
     *     connecting ends
     */
    void connect() throws ConnectException {
        long callMillis = timeout.getRemainingMillis();
        try {
            if (callMillis <= 0) {
                throw new ConnectException("the call had no time left to connect");
            }
            URI uri = URI.create("http://" + address);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
            channel.socket()
                    .connect(
                            new InetSocketAddress(uri.getHost(), uri.getPort()),
                            (int) Math.min(CONNECT_TIMEOUT_MILLIS, callMillis));
        } catch (IOException | IllegalArgumentException failure) {
            // An address without a valid port is rejected with an IllegalArgumentException.
            close();
            ConnectException notConnected = new ConnectException(failure.toString());
            notConnected.initCause(failure);
            throw notConnected;
        }
    }

    /**
     * Checks whether the connection can be used for another call.
     *
     * @return false if the peer has closed it or has sent anything unasked
     */
    boolean isUsable() {
        try {
            channel.configureBlocking(false);
            boolean silent = channel.read(received.clear()) == 0;
            received.flip();
            channel.configureBlocking(true);
            return silent;
        } catch (IOException failure) {
            return false;
        }
    }

    /**
     * Writes a request.
     *
     * @param request the head and the body
     * @throws IOException if the connection fails; {@link #isSent} shows whether the peer may have
     *     received a part of the request
     */
    void write(byte[] request) throws IOException {
        sent = false;
        requestBytes = 0;
        answerBytes = 0;
        ByteBuffer bytes = ByteBuffer.wrap(request);
        try {
            while (bytes.position() < request.length) {
                bytes.limit(Math.min(request.length, bytes.position() + MAX_TRANSFER_BYTES));
                int count = channel.write(bytes);
                sent = true;
                requestBytes += count;
                timeout.bytesSent(count);
            }
            timeout.requestSent(Math.min(request.length, MAX_BUFFERED_BYTES));
        } catch (ClosedChannelException closedByThisProcess) {
            // The kernel may have taken a part of the bytes before the connection was closed.
            sent = true;
            throw closedByThisProcess;
        }
    }

    /**
     * Reads a byte.
     *
     * @return the byte, 0 to 255
     * @throws EOFException if the peer has closed the connection
     * @throws IOException if the connection fails
     */
    int read() throws IOException {
        while (!received.hasRemaining()) {
            int count = channel.read(received.clear());
            received.flip();
            if (count < 0) {
                throw new EOFException("the peer has closed the connection");
            }
            bytesReceived(count);
        }
        return received.get() & 0xff;
    }

    /**
     * Reads the bytes that are available, and waits for at least one.
     *
     * @param bytes receives the bytes
     * @param offset where to store the first byte
     * @param length the maximum number of bytes
     * @return the number of bytes, negative if the peer has closed the connection
     * @throws IOException if the connection fails
     */
    int read(byte[] bytes, int offset, int length) throws IOException {
        if (received.hasRemaining()) {
            int count = Math.min(length, received.remaining());
            received.get(bytes, offset, count);
            return count;
        }
        int count =
                channel.read(ByteBuffer.wrap(bytes, offset, Math.min(length, MAX_TRANSFER_BYTES)));
        bytesReceived(count);
        return count;
    }

    private void bytesReceived(int count) {
        if (count > 0) {
            answerBytes += count;
            lastReceiptNanos = System.nanoTime();
            timeout.bytesReceived(count);
        }
    }

    /** Closes the connection because the timeout of its call has passed. */
    void closeOverdue() {
        overdue = true;
        close();
    }

    /** Closes the connection. */
    void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            // The connection is not used again in any case.
            return;
        }
    }
}
