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

/**
 * HTTP adapter of the platform's log.
 *
 * <p>{@code HttpLog} is thread-safe and immutable.
 */
public final class HttpLog implements LogPort {

    private final JsonHttpClient http;

    /**
     * Creates an adapter.
     *
     * @param http the HTTP client
     */
    public HttpLog(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public long append(byte[] record) {
        return http.post("/log", record, new TypeReference<Long>() {});
    }

    @Override
    public LogBatch read(long from, int maxRecords) {
        return http.get(
                "/log?from=" + from + "&most=" + maxRecords, new TypeReference<LogBatch>() {});
    }
}
