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
 * Calls to the platform over HTTP and JSON, with typed errors.
 *
 * <p>A call that was surely not taken fails with PLATFORM_UNAVAILABLE. One that may have been taken
 * fails with PLATFORM_OUTCOME_UNKNOWN. A refusal names its own code in the answer.
 *
 * <p>{@code JsonHttpClient} is thread-safe and immutable.
 */
public final class JsonHttpClient {

    /** How long a call may take if nothing else is said. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** The first HTTP status that means failure. */
    private static final int FIRST_FAILURE = 400;

    /** The HTTP status of a platform that did not take the call. */
    private static final int UNAVAILABLE = 503;

    /** The HTTP status of a refusal with a code. */
    private static final int CONFLICT = 409;

    /** The serializer. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** The client. */
    private final HttpClient client;

    /** The start of every address. */
    private final URI base;

    /** How long a call may take. */
    private final Duration timeout;

    /**
     * Constructor.
     *
     * @param base the start of every address, such as {@code http://10.0.0.1:7000}
     * @param client the client, shared by all adapters of a process
     */
    public JsonHttpClient(URI base, HttpClient client) {
        this(base, client, TIMEOUT);
    }

    /**
     * Constructor with the time that a call may take.
     *
     * @param base the start of every address
     * @param client the client, shared by all adapters of a process
     * @param timeout how long a call may take
     */
    public JsonHttpClient(URI base, HttpClient client, Duration timeout) {
        this.base = base;
        this.client = client;
        this.timeout = timeout;
    }

    /**
     * Makes the client that the adapters of a process share.
     *
     * @param executor where the client's threads come from
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
     * Posts a value as JSON.
     *
     * @param <T> the type of the answer
     * @param path the path
     * @param body the value
     * @param type the type of the answer
     * @return the answer
     * @throws StandlinkException as the class says
     */
    public <T> T post(String path, Object body, TypeReference<T> type) {
        byte[] bytes = body instanceof byte[] raw ? raw : encode(body);
        return send(request(path).POST(HttpRequest.BodyPublishers.ofByteArray(bytes)), type);
    }

    /**
     * Gets a value.
     *
     * @param <T> the type of the answer
     * @param path the path with its query
     * @param type the type of the answer
     * @return the answer
     * @throws StandlinkException as the class says
     */
    public <T> T get(String path, TypeReference<T> type) {
        return send(request(path).GET(), type);
    }

    // -----------------------------------------------------------------------
    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(base.resolve(path)).timeout(timeout);
    }

    private <T> T send(HttpRequest.Builder request, TypeReference<T> type) {
        try {
            HttpResponse<byte[]> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() >= FIRST_FAILURE) {
                throw failure(response);
            }
            return MAPPER.readValue(response.body(), type);
        } catch (ConnectException | HttpConnectTimeoutException notSent) {
            throw unavailable(notSent);
        } catch (IOException lost) {
            throw unknown(lost);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw unknown(stopped);
        }
    }

    private static StandlinkException failure(HttpResponse<byte[]> response) throws IOException {
        if (response.statusCode() == UNAVAILABLE) {
            return unavailable(null);
        }
        if (response.statusCode() == CONFLICT) {
            PlatformRefusal refusal = MAPPER.readValue(response.body(), PlatformRefusal.class);
            return new StandlinkException(
                    refusal.code(), "the platform refused: " + refusal.reason(), "see the reason");
        }
        return unknown(new IOException("HTTP status " + response.statusCode()));
    }

    private static byte[] encode(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (IOException impossible) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL, "value not encoded", "report a defect", impossible);
        }
    }

    private static StandlinkException unavailable(Throwable cause) {
        return new StandlinkException(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform did not take the call",
                "try again later; nothing was changed",
                cause);
    }

    private static StandlinkException unknown(Throwable cause) {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "the platform's answer was lost",
                "read the state back before trying again",
                cause);
    }
}
