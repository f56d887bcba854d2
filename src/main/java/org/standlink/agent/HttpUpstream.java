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
package org.standlink.agent;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.standlink.Outcome;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;

/**
 * Runs requests at the upstream over HTTP.
 *
 * <p>The JDK's HTTP client repeats GET and HEAD requests by itself when a pooled connection turns
 * out to be closed. Therefore the validation of a bundle rejects request classes that contain these
 * methods and are not repeatable.
 *
 * <p>{@code HttpUpstream} is thread-safe and immutable.
 */
public final class HttpUpstream implements UpstreamPort {

    /** The timeout after which a request fails and its slot is released, in seconds. */
    private static final long REQUEST_TIMEOUT_SECONDS = 60;

    /** The retry delay for callers if the upstream cannot be reached, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1000;

    /** Headers that apply to a single connection and are not forwarded. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "content-length",
                    "date",
                    "expect",
                    "host",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private final HttpClient client;
    private final URI baseUri;

    /**
     * Creates an instance.
     *
     * @param client the HTTP client
     * @param baseUri the URI against which the targets of requests are resolved
     */
    public HttpUpstream(HttpClient client, URI baseUri) {
        this.client = client;
        this.baseUri = baseUri;
    }

    @Override
    public CompletableFuture<ForwardAnswer> run(ForwardRequest request) {
        HttpRequest httpRequest;
        try {
            httpRequest = createHttpRequest(request);
        } catch (IllegalArgumentException malformed) {
            String reason = "the request cannot be sent: " + malformed.getMessage();
            return CompletableFuture.completedFuture(AnswerFactory.notRun(reason, 0, 0));
        }
        return client.sendAsync(httpRequest, HttpResponse.BodyHandlers.ofByteArray())
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? createAnswer(response)
                                        : createFailureAnswer(failure));
    }

    // -----------------------------------------------------------------------
    private HttpRequest createHttpRequest(ForwardRequest request) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(baseUri.resolve(request.target()))
                        .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
                        .method(
                                request.method(),
                                request.body().length == 0
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(request.body()));
        withoutConnectionHeaders(request.headers()).forEach(builder::header);
        return builder.build();
    }

    private static ForwardAnswer createAnswer(HttpResponse<byte[]> response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().map().forEach((name, values) -> headers.put(name, values.get(0)));
        return new ForwardAnswer(
                Outcome.ANSWERED,
                response.statusCode(),
                withoutConnectionHeaders(headers),
                response.body(),
                "",
                0,
                0);
    }

    private static ForwardAnswer createFailureAnswer(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return AnswerFactory.notRun("the upstream cannot be reached", RETRY_AFTER_MILLIS, 0);
        }
        return AnswerFactory.unknown("the upstream's answer was lost: " + cause, 0);
    }

    private static Map<String, String> withoutConnectionHeaders(Map<String, String> headers) {
        Map<String, String> remaining = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, value) -> {
                    String lowerCaseName = name.toLowerCase(java.util.Locale.ROOT);
                    if (!CONNECTION_HEADERS.contains(lowerCaseName)
                            && !lowerCaseName.startsWith(":")) {
                        remaining.put(name, value);
                    }
                });
        return remaining;
    }
}
