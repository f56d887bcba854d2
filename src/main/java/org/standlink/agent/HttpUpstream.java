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
 * The upstream over HTTP.
 *
 * <p>The JDK's client repeats GET and HEAD on its own when a kept connection turns out to be
 * closed; so the checks of a bundle refuse classes that may not be repeated and contain these
 * methods.
 *
 * <p>{@code HttpUpstream} is thread-safe and immutable.
 */
public final class HttpUpstream implements UpstreamPort {

    /** How long an upstream may take before its slot is given up, in seconds. */
    private static final long LONGEST_SECONDS = 60;

    /** When to come back after the upstream could not be reached, in milliseconds. */
    private static final long RETRY_MILLIS = 1000;

    /** Headers that belong to one connection and are not passed on. */
    private static final Set<String> OF_CONNECTION =
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

    /** The client. */
    private final HttpClient client;

    /** The start of every address. */
    private final URI base;

    /**
     * Constructor.
     *
     * @param client the client
     * @param base the start of every address
     */
    public HttpUpstream(HttpClient client, URI base) {
        this.client = client;
        this.base = base;
    }

    @Override
    public CompletableFuture<ForwardAnswer> run(ForwardRequest request) {
        HttpRequest sent;
        try {
            sent = request(request);
        } catch (IllegalArgumentException malformed) {
            String reason = "the request cannot be sent: " + malformed.getMessage();
            return CompletableFuture.completedFuture(AnswerFactory.notRun(reason, 0, 0));
        }
        return client.sendAsync(sent, HttpResponse.BodyHandlers.ofByteArray())
                .handle(
                        (response, failure) ->
                                failure == null ? answered(response) : failed(failure));
    }

    // -----------------------------------------------------------------------
    private HttpRequest request(ForwardRequest forward) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(base.resolve(forward.target()))
                        .timeout(Duration.ofSeconds(LONGEST_SECONDS))
                        .method(
                                forward.method(),
                                forward.body().length == 0
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(forward.body()));
        withoutConnection(forward.headers()).forEach(builder::header);
        return builder.build();
    }

    private static ForwardAnswer answered(HttpResponse<byte[]> response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().map().forEach((name, values) -> headers.put(name, values.get(0)));
        return new ForwardAnswer(
                Outcome.ANSWERED,
                response.statusCode(),
                withoutConnection(headers),
                response.body(),
                "",
                0,
                0);
    }

    private static ForwardAnswer failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return AnswerFactory.notRun("the upstream cannot be reached", RETRY_MILLIS, 0);
        }
        return AnswerFactory.unknown("the upstream's answer was lost: " + cause, 0);
    }

    private static Map<String, String> withoutConnection(Map<String, String> headers) {
        Map<String, String> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(java.util.Locale.ROOT);
                    if (!OF_CONNECTION.contains(lower) && !lower.startsWith(":")) {
                        kept.put(name, value);
                    }
                });
        return kept;
    }
}
