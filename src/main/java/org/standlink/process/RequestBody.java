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

    private RequestBody() {}

    /**
     * Reads a body. One whose Content-Length exceeds the limit is rejected without being read.
     *
     * @param exchange the request
     * @param maxBytes the maximum length of the body, in bytes
     * @return the body, empty if it exceeds the maximum length
     * @throws IOException if the caller closes the connection
     */
    public static Optional<byte[]> read(HttpExchange exchange, int maxBytes) throws IOException {
        if (parseContentLength(exchange) > maxBytes) {
            return Optional.empty();
        }
        byte[] body = exchange.getRequestBody().readNBytes(maxBytes + 1);
        return body.length > maxBytes ? Optional.empty() : Optional.of(body);
    }

    private static long parseContentLength(HttpExchange exchange) {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length.trim());
        } catch (NumberFormatException e) {
            // The JDK's server answers such a request with 400 before it reaches this method.
            return 0;
        }
    }
}
