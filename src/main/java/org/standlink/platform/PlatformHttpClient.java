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

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.WorkFailures;

/**
 * HTTP client for calls to the platform and to workers.
 *
 * <p>A call that is not answered within its timeout fails. Its connection is closed, and neither it
 * nor the connections that are idle at that time are used again: open connections may stall
 * together, and each of them would delay one more call by its whole timeout.
 *
 * <p>{@code PlatformHttpClient} is thread-safe.
 */
public final class PlatformHttpClient {

    /** The connect timeout; connecting takes a few milliseconds on the platform's links. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** The minimum age at which a client is replaced, in milliseconds; a call may take as long. */
    private static final long MIN_REPLACEMENT_AGE_MILLIS = 500;

    private final Executor executor;

    /** The current client, which reuses its idle connections. */
    private volatile HttpClient client;

    /** When the client was created, by {@link System#nanoTime}; guarded by this. */
    private long createdNanos;

    /**
     * Creates a client without open connections.
     *
     * @param executor runs the client's tasks
     */
    public PlatformHttpClient(Executor executor) {
        this.executor = executor;
        replaceClient(null);
    }

    /**
     * Replaces the client, and with it all connections, unless the given client has been replaced
     * already or is younger than {@link #MIN_REPLACEMENT_AGE_MILLIS}.
     */
    private synchronized void replaceClient(HttpClient usedClient) {
        long now = System.nanoTime();
        boolean tooNew =
                now - createdNanos < TimeUnit.MILLISECONDS.toNanos(MIN_REPLACEMENT_AGE_MILLIS);
        if (client != usedClient || usedClient != null && tooNew) {
            return;
        }
        createdNanos = now;
        client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .sslContext(PlaintextSslContextSpi.newContext())
                        .build();
    }

    /**
     * Creates a request, whose method and body the caller has to add.
     *
     * @param address the host and port
     * @param target the path, with the query if there is one
     * @param timeoutMillis the timeout of the answer, in milliseconds
     * @return the request
     */
    HttpRequest.Builder newRequest(String address, String target, long timeoutMillis) {
        return HttpRequest.newBuilder(URI.create("http://" + address + target))
                .timeout(Duration.ofMillis(timeoutMillis));
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the answer; fails with PLATFORM_UNAVAILABLE if no connection could be opened and
     *     nothing was sent, with PLATFORM_OUTCOME_UNKNOWN if the answer did not arrive
     */
    CompletableFuture<HttpResponse<byte[]>> send(HttpRequest.Builder request) {
        HttpClient usedClient = client;
        return usedClient
                .sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .exceptionally(
                        failure -> {
                            Throwable cause = WorkFailures.unwrap(failure);
                            if (isAnswerTimeout(cause)) {
                                replaceClient(usedClient);
                            }
                            throw translate(cause);
                        });
    }

    private static boolean isAnswerTimeout(Throwable cause) {
        return cause instanceof HttpTimeoutException
                && !(cause instanceof HttpConnectTimeoutException);
    }

    private static StandlinkException translate(Throwable cause) {
        if (cause instanceof Error error) {
            // A failure of this process, not of the platform; a retry would hide it.
            throw error;
        }
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "connection failed: " + cause,
                    "try again later; nothing was sent",
                    cause);
        }
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "no answer received: " + cause,
                "retry with the same sequence number or read the state back",
                cause);
    }
}
