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
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * HTTP/1.1 client for calls to the platform and to workers, over plaintext persistent connections.
 *
 * <p>A call whose answer neither begins within its timeout nor goes on arriving fails. Its
 * connection is closed, and neither it nor the connections that are idle at that time are used
 * again: open connections may stall together, and each of them would delay one more call by its
 * whole timeout.
 *
 * <p>A call occupies a thread of the executor until it ends. A single further thread enforces the
 * timeouts of all calls.
 *
 * <p>The requests and answers have the types of the JDK's HTTP client, but its implementation is
 * not used: it takes a considerable part of the CPU time of a process start.
 *
 * <p>{@code PlatformHttpClient} is thread-safe.
 */
public final class PlatformHttpClient {

    private static final byte[] NO_BODY = {};

    private final Executor executor;

    private final HttpConnectionPool pool;

    /**
     * Creates a client without open connections.
     *
     * @param executor runs the calls; must not queue them, because a queued call uses up its
     *     timeout
     */
    public PlatformHttpClient(Executor executor) {
        this.executor = executor;
        this.pool = new HttpConnectionPool(new CallTimeouts(executor));
    }

    /**
     * Creates a request without a body.
     *
     * @param address the host and port
     * @param target the path, with the query if there is one
     * @param timeoutMillis how long the answer may take to begin, in milliseconds; it may then take
     *     as long as its bytes keep arriving
     * @return the request, to which the caller may add headers
     */
    HttpRequest.Builder newRequest(String address, String target, long timeoutMillis) {
        return HttpRequest.newBuilder(URI.create("http://" + address + target))
                .timeout(Duration.ofMillis(timeoutMillis));
    }

    /**
     * Sends a GET request.
     *
     * @param request the request, created by this client
     * @return the answer; fails with PLATFORM_UNAVAILABLE if no connection could be opened and
     *     nothing was sent, with PLATFORM_OUTCOME_UNKNOWN if the answer did not arrive
     */
    CompletableFuture<HttpResponse<byte[]>> send(HttpRequest.Builder request) {
        return start(new HttpCall(pool, "GET", request.build(), NO_BODY));
    }

    /**
     * Sends a POST request. It is sent at most once.
     *
     * @param request the request, created by this client
     * @param body the body
     * @return the answer; fails as that of {@link #send}
     */
    CompletableFuture<HttpResponse<byte[]>> post(HttpRequest.Builder request, byte[] body) {
        return start(new HttpCall(pool, "POST", request.build(), body));
    }

    private CompletableFuture<HttpResponse<byte[]>> start(HttpCall call) {
        try {
            executor.execute(call);
        } catch (RejectedExecutionException stopped) {
            return CompletableFuture.failedFuture(
                    translate(new ConnectException("the client's executor has been shut down")));
        } catch (Error noThread) {
            return CompletableFuture.failedFuture(noThread);
        }
        return call.getResult();
    }

    /**
     * Translates the failure of a call.
     *
     * @param cause the failure; a {@link ConnectException} if nothing was sent
     * @return the failure for the caller; an error is returned unchanged, since it is a failure of
     *     this process and not of the platform, and a retry would hide it
     */
    static Throwable translate(Throwable cause) {
        if (cause instanceof Error) {
            return cause;
        }
        if (cause instanceof ConnectException) {
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
