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

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A call: sends a request over an idle or a new connection and reads the answer.
 *
 * <p>Is sent again over a new connection, once, if the idle connection turns out to be closed and
 * either nothing was sent or the method is GET and no byte of an answer was received.
 *
 * <p>{@code HttpCall} is thread-safe; it is run once.
 */
final class HttpCall implements Runnable {

    private final HttpConnectionPool pool;

    private final String method;

    private final HttpRequest request;

    private final byte[] body;

    private final CallTimeout timeout;

    private final CompletableFuture<HttpResponse<byte[]>> result = new CompletableFuture<>();

    /**
     * Creates a call, whose timeout starts now.
     *
     * @param pool the connections
     * @param method the HTTP method, GET or POST
     * @param request the request, with a timeout
     * @param body the body, empty for GET
     */
    HttpCall(HttpConnectionPool pool, String method, HttpRequest request, byte[] body) {
        this.pool = pool;
        this.method = method;
        this.request = request;
        this.body = body;
        this.timeout = CallTimeout.ofMillis(request.timeout().orElseThrow().toMillis());
    }

    /**
     * Gets the result.
     *
     * @return the answer; fails as described by {@link PlatformHttpClient#send}
     */
    CompletableFuture<HttpResponse<byte[]>> getResult() {
        return result;
    }

    @Override
    public void run() {
        HttpAnswer answer;
        try {
            answer = execute();
        } catch (Throwable failure) {
            result.completeExceptionally(PlatformHttpClient.translate(failure));
            return;
        }
        result.complete(answer);
    }

    // -----------------------------------------------------------------------
    private HttpAnswer execute() throws IOException {
        String address = request.uri().getRawAuthority();
        byte[] bytes = encode();
        HttpConnection idle = pool.takeIdle(address, timeout);
        if (idle == null) {
            return exchange(pool.open(address, timeout), bytes);
        }
        try {
            return exchange(idle, bytes);
        } catch (IOException failure) {
            if (!isRepeatable(idle)) {
                throw failure;
            }
            return exchange(openAfter(idle, failure), bytes);
        }
    }

    private HttpConnection openAfter(HttpConnection failed, IOException failure)
            throws IOException {
        try {
            return pool.open(failed.getAddress(), timeout);
        } catch (ConnectException notOpened) {
            if (failed.isSent()) {
                // The peer may have executed the request before it closed the idle connection.
                failure.addSuppressed(notOpened);
                throw failure;
            }
            throw notOpened;
        }
    }

    private boolean isRepeatable(HttpConnection failed) {
        boolean repeatable = !failed.isSent() || method.equals("GET") && !failed.isAnswered();
        return repeatable && !failed.isOverdue();
    }

    private HttpAnswer exchange(HttpConnection connection, byte[] bytes) throws IOException {
        boolean reusable = false;
        try {
            connection.write(bytes);
            HttpAnswerReader reader = new HttpAnswerReader(connection);
            byte[] answerBody = reader.readAnswer();
            reusable = reader.isConnectionReusable();
            return new HttpAnswer(reader.getStatus(), answerBody, request);
        } catch (IOException failure) {
            if (!connection.isOverdue()) {
                throw failure;
            }
            pool.discardAll(connection);
            throw new SocketTimeoutException(describeTimeout(connection, bytes.length));
        } finally {
            pool.release(connection, reusable);
        }
    }

    private static String describeTimeout(HttpConnection connection, int requestLength) {
        if (!connection.isAnswered()) {
            return "the call was not answered in time; written "
                    + connection.getRequestBytes()
                    + " bytes of "
                    + requestLength
                    + ", received none";
        }
        long silentNanos = System.nanoTime() - connection.getLastReceiptNanos();
        return "the call was not answered in time; received "
                + connection.getAnswerBytes()
                + " bytes, the last of them "
                + TimeUnit.NANOSECONDS.toMillis(silentNanos)
                + " ms ago";
    }

    private byte[] encode() {
        URI uri = request.uri();
        StringBuilder head = new StringBuilder(256);
        head.append(method).append(' ').append(uri.getRawPath());
        if (uri.getRawQuery() != null) {
            head.append('?').append(uri.getRawQuery());
        }
        head.append(" HTTP/1.1\r\nHost: ").append(uri.getRawAuthority()).append("\r\n");
        if (method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        for (Map.Entry<String, List<String>> header : request.headers().map().entrySet()) {
            for (String value : header.getValue()) {
                head.append(header.getKey()).append(": ").append(value).append("\r\n");
            }
        }
        byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, bytes, headBytes.length, body.length);
        return bytes;
    }
}
