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

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.standlink.StandlinkException;
import org.standlink.process.WorkFailures;
import org.standlink.store.KeyedRecord;
import org.standlink.store.ReadResult;

/**
 * Reads the newest record of each key of a topic, page by page. A page that fails is requested
 * again, so that the time for a long topic does not depend on all its pages succeeding in a row.
 *
 * <p>The first page is not requested again here: until it was read there is nothing to lose, and
 * the caller has its own pause between attempts.
 *
 * <p>{@code NewestRecordsReader} is used for one read; its calls follow each other.
 */
final class NewestRecordsReader {

    /** The maximum number of requests for one page. */
    static final int MAX_ATTEMPTS = 5;

    /** The pause before a page is requested again, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 100;

    private final PageSource source;

    private final List<KeyedRecord> found = new ArrayList<>();

    /** The end of the topic when the first page was read. Reading on from there skips no record. */
    private long end;

    /** Requests one page. */
    interface PageSource {

        /**
         * Requests a page.
         *
         * @param after the query parameter that names the last key of the page before, empty for
         *     the first page
         * @return the page
         */
        CompletableFuture<JsonNode> request(String after);
    }

    /**
     * Creates a reader.
     *
     * @param source requests the pages
     */
    NewestRecordsReader(PageSource source) {
        this.source = source;
    }

    /**
     * Reads all pages.
     *
     * @return the records and an offset from which further reads miss no record; fails as the first
     *     page does, or as the last request for a later page
     */
    CompletableFuture<ReadResult> read() {
        return source.request("")
                .thenCompose(
                        page -> {
                            end = page.path("end").asLong();
                            return readFurther(page);
                        });
    }

    // -----------------------------------------------------------------------
    private CompletableFuture<ReadResult> readFurther(JsonNode page) {
        String last = addItems(page);
        if (!page.path("more").asBoolean() || last.isEmpty()) {
            return CompletableFuture.completedFuture(new ReadResult(end, found));
        }
        String after = "&after=" + URLEncoder.encode(last, StandardCharsets.UTF_8);
        return request(after, 1).thenCompose(this::readFurther);
    }

    private CompletableFuture<JsonNode> request(String after, int attempt) {
        return source.request(after)
                .exceptionallyCompose(
                        failure -> {
                            // A retry would hide a defect of this process.
                            boolean retried =
                                    attempt < MAX_ATTEMPTS
                                            && WorkFailures.unwrap(failure)
                                                    instanceof StandlinkException;
                            return retried
                                    ? requestAgain(after, attempt + 1)
                                    : CompletableFuture.failedFuture(failure);
                        });
    }

    private CompletableFuture<JsonNode> requestAgain(String after, int attempt) {
        return new CompletableFuture<Void>()
                .completeOnTimeout(null, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                .thenCompose(elapsed -> request(after, attempt));
    }

    private String addItems(JsonNode page) {
        String last = "";
        for (JsonNode item : page.path("items")) {
            // Despite its name, this field contains the record's key.
            last = item.path("tls_key").asText();
            byte[] value = Base64.getDecoder().decode(item.path("value").asText());
            found.add(new KeyedRecord(last, value));
        }
        return last;
    }
}
