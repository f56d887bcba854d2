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
package org.standlink.port;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Client for calls to the platform over HTTP with JSON, which maps failures to error codes.
 *
 * <p>A call that certainly had no effect fails with PLATFORM_UNAVAILABLE, and one that may have had
 * an effect with PLATFORM_OUTCOME_UNKNOWN. A call that the platform rejects fails with the error
 * code in the answer.
 *
 * <p>{@code JsonHttpClient} is thread-safe and immutable.
 */
public final class JsonHttpClient {

    /** The timeout of a call, unless another is specified. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

    /** The lowest HTTP status that indicates a failure. */
    private static final int MIN_FAILURE_STATUS = 400;

    /** The HTTP status of a call that the platform did not accept. */
    private static final int UNAVAILABLE_STATUS = 503;

    /** The HTTP status of a rejection, whose body contains an error code. */
    private static final int REJECTED_STATUS = 409;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpClient client;

    private final URI baseUri;

    private final Duration timeout;

    /**
     * Creates a client with the default timeout.
     *
     * @param baseUri the base URI of the requests, such as {@code http://10.0.0.1:7000}
     * @param client the HTTP client, shared by all adapters of a process
     */
    public JsonHttpClient(URI baseUri, HttpClient client) {
        this(baseUri, client, DEFAULT_TIMEOUT);
    }

    /**
     * Creates a client.
     *
     * @param baseUri the base URI of the requests
     * @param client the HTTP client, shared by all adapters of a process
     * @param timeout the timeout of a call
     */
    public JsonHttpClient(URI baseUri, HttpClient client, Duration timeout) {
        this.baseUri = baseUri;
        this.client = client;
        this.timeout = timeout;
    }

    /**
     * Creates the HTTP client that all adapters of a process share.
     *
     * @param executor the executor of the client
     * @return the client
     */
    public static HttpClient newClient(Executor executor) {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .executor(executor)
                .build();
    }

    /**
     * Sends a POST request with a value as JSON, or with the given bytes unchanged.
     *
     * @param <T> the type of the answer
     * @param path the path
     * @param body the value, or a byte array
     * @param type the type of the answer
     * @return the answer
     * @throws StandlinkException if the call fails, with a code as specified for this class
     */
    public <T> T post(String path, Object body, TypeReference<T> type) {
        byte[] bytes = body instanceof byte[] raw ? raw : encode(body);
        return send(request(path).POST(HttpRequest.BodyPublishers.ofByteArray(bytes)), type);
    }

    /**
     * Sends a GET request.
     *
     * @param <T> the type of the answer
     * @param path the path with its query
     * @param type the type of the answer
     * @return the answer
     * @throws StandlinkException if the call fails, with a code as specified for this class
     */
    public <T> T get(String path, TypeReference<T> type) {
        return send(request(path).GET(), type);
    }

    // -----------------------------------------------------------------------
    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(baseUri.resolve(path)).timeout(timeout);
    }

    private <T> T send(HttpRequest.Builder request, TypeReference<T> type) {
        try {
            HttpResponse<byte[]> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() >= MIN_FAILURE_STATUS) {
                throw toException(response);
            }
            return MAPPER.readValue(response.body(), type);
        } catch (ConnectException | HttpConnectTimeoutException notSent) {
            throw unavailable(notSent);
        } catch (IOException ioFailure) {
            throw outcomeUnknown(ioFailure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw outcomeUnknown(interrupted);
        }
    }

    private static StandlinkException toException(HttpResponse<byte[]> response)
            throws IOException {
        if (response.statusCode() == UNAVAILABLE_STATUS) {
            return unavailable(null);
        }
        if (response.statusCode() == REJECTED_STATUS) {
            PlatformRefusal refusal = MAPPER.readValue(response.body(), PlatformRefusal.class);
            return new StandlinkException(
                    refusal.code(),
                    "the platform rejected the request: " + refusal.reason(),
                    "see the reason");
        }
        return outcomeUnknown(new IOException("HTTP status " + response.statusCode()));
    }

    private static byte[] encode(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (IOException impossible) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    "request body cannot be serialised as JSON",
                    "report a defect",
                    impossible);
        }
    }

    private static StandlinkException unavailable(Throwable cause) {
        return new StandlinkException(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform did not accept the request",
                "try again later; the request had no effect",
                cause);
    }

    private static StandlinkException outcomeUnknown(Throwable cause) {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "no valid answer from the platform; the outcome of the request is unknown",
                "read the current state before trying again",
                cause);
    }
}
