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
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.store.Writer;

/**
 * The platform's store over HTTP.
 *
 * <p>{@code HttpStore} is thread-safe and immutable.
 */
public final class HttpStore implements KeyedStore {

    /**
     * How long a call may take, in milliseconds: an answer takes 4 ms, and 240 ms when the store is
     * slowed sixtyfold.
     */
    private static final long CALL_MILLIS = 1000;

    /**
     * How much longer than it was asked to wait a read may take, in milliseconds: twice what an
     * answer takes of a store that is slowed sixtyfold.
     */
    private static final long WAIT_SPARE_MILLIS = 600;

    /** The name under which the cell's leader appends. */
    private static final String PRODUCER = "leader";

    /** The only partition used of each topic; newest records are kept for partition 0 only. */
    private static final String PARTITION = "&part=0";

    /** An offset that no topic reaches: a read from it answers the end and no record. */
    private static final long BEYOND_ANY_END = 1L << 40;

    /** The client. */
    private final PlatformHttpClient caller;

    /** Host and port. */
    private final String address;

    /**
     * Constructor.
     *
     * @param caller the client
     * @param address host and port
     */
    public HttpStore(PlatformHttpClient caller, String address) {
        this.caller = caller;
        this.address = address;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<Long> appendAt(
            Topic topic, List<KeyedRecord> records, long expectedEnd) {
        return append(topic, "&at=" + expectedEnd, records);
    }

    @Override
    public CompletableFuture<Long> append(Topic topic, List<KeyedRecord> records, Writer writer) {
        long end = writer.expectedEnd();
        String condition = end == Writer.ANYWHERE ? "" : "&at=" + end;
        String query = producer(writer.epoch()) + "&seq=" + writer.sequence() + condition;
        return append(topic, query, records);
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return append(topic, producer(epoch), List.of());
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        String target =
                "/v1/log-read?topic="
                        + name(topic)
                        + PARTITION
                        + "&from="
                        + from
                        + waitOf(waitMillis);
        return caller.send(caller.newRequest(address, target, waitMillis + WAIT_SPARE_MILLIS).GET())
                .thenApply(
                        response -> {
                            check(response);
                            return RecordFormat.decodeReadAnswer(response.body(), from);
                        });
    }

    @Override
    public CompletableFuture<Long> readEnd(Topic topic) {
        String target = "/v1/log-read?topic=" + name(topic) + PARTITION + "&from=" + BEYOND_ANY_END;
        return caller.send(caller.newRequest(address, target, CALL_MILLIS).GET())
                .thenApply(
                        response -> {
                            check(response);
                            return ByteBuffer.wrap(response.body()).getLong();
                        });
    }

    @Override
    public CompletableFuture<ReadResult> readNewest(Topic topic) {
        return readPages(topic, "", -1, new ArrayList<>());
    }

    // -----------------------------------------------------------------------
    private static String name(Topic topic) {
        return switch (topic) {
            case CLAIMS -> "keyed.claims";
            case CELL -> "keyed.cell";
            case OPERATOR -> "keyed.op";
        };
    }

    private static String producer(Epoch epoch) {
        return "&producer=" + PRODUCER + "&epoch=" + epoch.getValue();
    }

    private static String waitOf(long waitMillis) {
        return waitMillis == 0 ? "" : "&wait_ms=" + waitMillis;
    }

    private CompletableFuture<Long> append(Topic topic, String query, List<KeyedRecord> records) {
        String target = "/v1/log-append?topic=" + name(topic) + PARTITION + query;
        HttpRequest.BodyPublisher body =
                HttpRequest.BodyPublishers.ofByteArray(RecordFormat.encode(records));
        return caller.send(caller.newRequest(address, target, CALL_MILLIS).POST(body))
                .thenApply(
                        response -> {
                            check(response);
                            return Json.read(response.body()).path("end").asLong();
                        });
    }

    /** Reads page after page; the end that the first page names misses nothing. */
    private CompletableFuture<ReadResult> readPages(
            Topic topic, String after, long firstEnd, List<KeyedRecord> found) {
        String target = "/v1/log-newest?topic=" + name(topic) + PARTITION + after;
        return caller.send(caller.newRequest(address, target, CALL_MILLIS).GET())
                .thenCompose(
                        response -> {
                            check(response);
                            JsonNode page = Json.read(response.body());
                            long end = firstEnd < 0 ? page.path("end").asLong() : firstEnd;
                            String last = addItems(page, found);
                            if (!page.path("more").asBoolean() || last.isEmpty()) {
                                ReadResult all = new ReadResult(end, found);
                                return CompletableFuture.completedFuture(all);
                            }
                            String next =
                                    "&after=" + URLEncoder.encode(last, StandardCharsets.UTF_8);
                            return readPages(topic, next, end, found);
                        });
    }

    private static String addItems(JsonNode page, List<KeyedRecord> found) {
        String last = "";
        for (JsonNode item : page.path("items")) {
            // The field that is named after TLS holds the record's key.
            last = item.path("tls_key").asText();
            byte[] value = Base64.getDecoder().decode(item.path("value").asText());
            found.add(new KeyedRecord(last, value));
        }
        return last;
    }

    private static void check(HttpResponse<byte[]> response) {
        int status = response.statusCode();
        if (status == 200) {
            return;
        }
        String body = new String(response.body(), StandardCharsets.UTF_8);
        String problem = "the store answered " + status + " " + body;
        switch (status) {
            case 409 -> {
                boolean fenced =
                        Json.read(response.body()).path("reason").asText().equals("fenced");
                throw fenced
                        ? new StandlinkException(
                                ErrorCode.EPOCH_FENCED, problem, "stop leading the cell")
                        : new StandlinkException(
                                ErrorCode.INTERNAL, problem, "report a defect of the numbering");
            }
            case 410 ->
                    throw new StandlinkException(
                            ErrorCode.LOG_GAP, problem, "read the newest record of each key");
            case 412 ->
                    throw new StandlinkException(
                            ErrorCode.CONDITION_FAILED, problem, "read what was written meanwhile");
            default ->
                    throw new StandlinkException(
                            ErrorCode.PLATFORM_UNAVAILABLE, problem, "try again later");
        }
    }

    /** The binary form of records: lengths of four bytes, keys with a length of one byte. */
    static final class RecordFormat {

        /** Where the records of an answer begin: behind its end and its first offset. */
        static final int HEADER_BYTES = 16;

        /** No instances. */
        private RecordFormat() {}

        /**
         * Encodes records.
         *
         * @param records the records
         * @return the bytes
         */
        static byte[] encode(List<KeyedRecord> records) {
            int size = 0;
            for (KeyedRecord record : records) {
                size += 5 + record.key().length() + record.value().length;
            }
            ByteBuffer bytes = ByteBuffer.allocate(size);
            for (KeyedRecord record : records) {
                byte[] key = record.key().getBytes(StandardCharsets.US_ASCII);
                bytes.putInt(1 + key.length + record.value().length);
                bytes.put((byte) key.length).put(key).put(record.value());
            }
            return bytes.array();
        }

        /**
         * Decodes the answer to a read.
         *
         * @param body the answer
         * @param from the offset that was asked for
         * @return the records
         */
        static ReadResult decodeReadAnswer(byte[] body, long from) {
            ByteBuffer bytes = ByteBuffer.wrap(body);
            bytes.position(Math.min(HEADER_BYTES, body.length));
            List<KeyedRecord> records = decodeRecords(bytes);
            return new ReadResult(from + records.size(), records);
        }

        /**
         * Decodes records.
         *
         * @param bytes the records, and nothing behind them
         * @return the records
         */
        static List<KeyedRecord> decodeRecords(ByteBuffer bytes) {
            List<KeyedRecord> records = new ArrayList<>();
            while (bytes.remaining() > 4) {
                byte[] record = new byte[bytes.getInt()];
                bytes.get(record);
                int keyEnd = 1 + (record[0] & 0xff);
                String key = new String(record, 1, keyEnd - 1, StandardCharsets.US_ASCII);
                byte[] value = java.util.Arrays.copyOfRange(record, keyEnd, record.length);
                records.add(new KeyedRecord(key, value));
            }
            return records;
        }
    }
}
