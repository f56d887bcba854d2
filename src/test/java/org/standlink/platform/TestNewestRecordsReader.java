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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.store.KeyedRecord;
import org.standlink.store.ReadResult;

/**
 * Tests the reading of several pages, some of which fail.
 *
 * <p>Guards against a leader that cannot take over a large state while the store loses some of its
 * answers: all pages were requested again whenever one of them had failed.
 */
public class TestNewestRecordsReader {

    private static final int PAGES = 20;

    private final List<String> requests = new ArrayList<>();

    /** The number of times that each page but the first one fails. */
    private int failuresPerPage;

    private RuntimeException failure =
            new StandlinkException(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, "no answer", "retry");

    private CompletableFuture<JsonNode> answer(String after) {
        long earlier = requests.stream().filter(after::equals).count();
        requests.add(after);
        if (!after.isEmpty() && earlier < failuresPerPage) {
            return CompletableFuture.failedFuture(failure);
        }
        int number = after.isEmpty() ? 1 : 1 + Integer.parseInt(after.substring(8));
        ObjectNode page = Json.newObject().put("more", number < PAGES).put("end", 100 + number);
        page.putArray("items").addObject().put("tls_key", "k" + number).put("value", "AA==");
        return CompletableFuture.completedFuture(page);
    }

    private ReadResult read() {
        return new NewestRecordsReader(this::answer).read().join();
    }

    private void assertAllRead(ReadResult read) {
        assertEquals(101, read.nextOffset(), "the end that the first page names");
        assertEquals(PAGES, read.records().size());
        assertEquals(
                PAGES, read.records().stream().map(KeyedRecord::key).distinct().toList().size());
    }

    // -----------------------------------------------------------------------
    @Test
    public void allPagesAreRead() {
        assertAllRead(read());
        assertEquals(PAGES, requests.size());
    }

    @Test
    public void onlyThePageThatFailedIsRequestedAgain() {
        failuresPerPage = 1;
        assertAllRead(read());
        assertEquals(2 * PAGES - 1, requests.size());
    }

    @Test
    public void pageThatKeepsFailingFailsTheRead() {
        failuresPerPage = NewestRecordsReader.MAX_ATTEMPTS;
        assertThrows(CompletionException.class, this::read);
        assertEquals(1 + NewestRecordsReader.MAX_ATTEMPTS, requests.size());
    }

    @Test
    public void defectIsNotRetried() {
        failuresPerPage = 1;
        failure = new IllegalStateException("on purpose");
        assertThrows(CompletionException.class, this::read);
        assertEquals(2, requests.size());
    }
}
