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
 * The one HTTP client for calls to the platform and to workers.
 *
 * <p>A call without an answer in its time fails; its connection is closed and not used again, nor
 * are those that were idle then: open connections may go silent together, and each would hold up
 * one more call for its whole time.
 *
 * <p>{@code PlatformHttpClient} is thread-safe.
 */
public final class PlatformHttpClient {

    /** How long to wait for a connection; links of the platform take a few milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** The most often that connections are given up, in milliseconds; a call takes as long. */
    private static final long RENEW_MILLIS = 500;

    /** Where the client's threads come from. */
    private final Executor executor;

    /** The client, whose idle connections are used again. */
    private volatile HttpClient client;

    /** When the client was made, by {@link System#nanoTime}; guarded by this. */
    private long madeAtNanos;

    /**
     * Constructor.
     *
     * @param executor where the client's threads come from
     */
    public PlatformHttpClient(Executor executor) {
        this.executor = executor;
        renew(null);
    }

    /** Makes a new client, unless that has been done since the one in question was used. */
    private synchronized void renew(HttpClient used) {
        long now = System.nanoTime();
        boolean soon = now - madeAtNanos < TimeUnit.MILLISECONDS.toNanos(RENEW_MILLIS);
        if (client != used || used != null && soon) {
            return;
        }
        madeAtNanos = now;
        client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .sslContext(PlaintextSslContextSpi.newContext())
                        .build();
    }

    /**
     * Makes a request to be completed and sent.
     *
     * @param address host and port
     * @param target the path, with its query if any
     * @param timeoutMillis how long to wait for the answer, in milliseconds
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
     * @return the answer; fails with PLATFORM_UNAVAILABLE if nothing was sent, else with
     *     PLATFORM_OUTCOME_UNKNOWN
     */
    CompletableFuture<HttpResponse<byte[]>> send(HttpRequest.Builder request) {
        HttpClient used = client;
        return used.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .exceptionally(
                        failure -> {
                            Throwable cause = WorkFailures.causeOf(failure);
                            if (isSilence(cause)) {
                                renew(used);
                            }
                            throw translate(cause);
                        });
    }

    private static boolean isSilence(Throwable cause) {
        return cause instanceof HttpTimeoutException
                && !(cause instanceof HttpConnectTimeoutException);
    }

    private static StandlinkException translate(Throwable cause) {
        if (cause instanceof Error error) {
            // No answer of the platform, but a failure of this process that calling again hides.
            throw error;
        }
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "no connection: " + cause,
                    "try again later; nothing was sent",
                    cause);
        }
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "no answer: " + cause,
                "repeat the call under the same number or read the state back",
                cause);
    }
}
