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
package org.standlink.process;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads the body of a request up to a limit.
 *
 * <p>{@code RequestBody} is thread-safe and immutable.
 */
public final class RequestBody {

    /** No instances. */
    private RequestBody() {}

    /**
     * Reads a body. One that is announced as too long is not waited for.
     *
     * @param exchange the request
     * @param mostBytes the longest body taken, in bytes
     * @return the body, empty if it is longer
     * @throws IOException if the caller breaks off
     */
    public static Optional<byte[]> read(HttpExchange exchange, int mostBytes) throws IOException {
        if (announcedBytes(exchange) > mostBytes) {
            return Optional.empty();
        }
        byte[] body = exchange.getRequestBody().readNBytes(mostBytes + 1);
        return body.length > mostBytes ? Optional.empty() : Optional.of(body);
    }

    private static long announcedBytes(HttpExchange exchange) {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length.trim());
        } catch (NumberFormatException malformed) {
            // The JDK's server answers 400 to such a request before it comes here.
            return 0;
        }
    }
}
