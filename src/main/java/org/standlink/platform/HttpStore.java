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
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.store.AppendCondition;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.StoreLimits;
import org.standlink.store.Topic;

/**
 * Client of the platform's store over HTTP.
 *
 * <p>{@code HttpStore} is thread-safe and immutable.
 */
public final class HttpStore implements KeyedStore {

    /**
     * The timeout until an answer begins, in milliseconds: an answer takes 4 ms, and 240 ms when
     * the store is slowed down sixtyfold.
     */
    private static final long CALL_TIMEOUT_MILLIS = 1000;

    /**
     * How much longer than its requested wait a read may take to be answered, in milliseconds:
     * twice what an answer takes from a store that is slowed down sixtyfold.
     */
    private static final long READ_MARGIN_MILLIS = 600;

    /** The producer name under which the cell's leader appends. */
    private static final String PRODUCER = "leader";

    /**
     * Selects partition 0, the only one for which the store retains the newest record of each key.
     */
    private static final String PARTITION_PARAMETER = "&part=0";

    /** An offset beyond the end of any topic: a read from it returns the end and no records. */
    private static final long OFFSET_BEYOND_END = 1L << 40;

    private final PlatformHttpClient client;

    /** The host and port of the store. */
    private final String address;

    private final StoreLimits limits;

    /**
     * Creates a client of a store.
     *
     * @param client the HTTP client
     * @param address the host and port of the store
     * @param limits the largest records and appends that the store accepts
     */
    public HttpStore(PlatformHttpClient client, String address, StoreLimits limits) {
        this.client = client;
        this.address = address;
        this.limits = limits;
    }

    // -----------------------------------------------------------------------
    @Override
    public StoreLimits getLimits() {
        return limits;
    }

    @Override
    public CompletableFuture<Long> appendAt(
            Topic topic, List<KeyedRecord> records, long expectedEnd) {
        return append(topic, "&at=" + expectedEnd, records);
    }

    @Override
    public CompletableFuture<Long> append(
            Topic topic, List<KeyedRecord> records, AppendCondition appendCondition) {
        long end = appendCondition.expectedEnd();
        String condition = end == AppendCondition.ANY_END ? "" : "&at=" + end;
        String query =
                producerParameters(appendCondition.epoch())
                        + "&seq="
                        + appendCondition.sequence()
                        + condition;
        return append(topic, query, records);
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return append(topic, producerParameters(epoch), List.of());
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        String target =
                "/v1/log-read?topic="
                        + topicName(topic)
                        + PARTITION_PARAMETER
                        + "&from="
                        + from
                        + waitParameter(waitMillis);
        return client.send(
                        client.newRequest(address, target, waitMillis + READ_MARGIN_MILLIS).GET())
                .thenApply(
                        response -> {
                            checkStatus(response);
                            return RecordFormat.decodeReadAnswer(response.body(), from);
                        });
    }

    @Override
    public CompletableFuture<Long> readEnd(Topic topic) {
        String target =
                "/v1/log-read?topic="
                        + topicName(topic)
                        + PARTITION_PARAMETER
                        + "&from="
                        + OFFSET_BEYOND_END;
        return client.send(client.newRequest(address, target, CALL_TIMEOUT_MILLIS).GET())
                .thenApply(
                        response -> {
                            checkStatus(response);
                            return ByteBuffer.wrap(response.body()).getLong();
                        });
    }

    @Override
    public CompletableFuture<ReadResult> readNewest(Topic topic) {
        String target = "/v1/log-newest?topic=" + topicName(topic) + PARTITION_PARAMETER;
        return new NewestRecordsReader(after -> readPage(target + after)).read();
    }

    // -----------------------------------------------------------------------
    private static String topicName(Topic topic) {
        return switch (topic) {
            case CLAIMS -> "keyed.claims";
            case CELL -> "keyed.cell";
            case OPERATOR -> "keyed.op";
        };
    }

    private static String producerParameters(Epoch epoch) {
        return "&producer=" + PRODUCER + "&epoch=" + epoch.getValue();
    }

    private static String waitParameter(long waitMillis) {
        return waitMillis == 0 ? "" : "&wait_ms=" + waitMillis;
    }

    private CompletableFuture<Long> append(Topic topic, String query, List<KeyedRecord> records) {
        String target = "/v1/log-append?topic=" + topicName(topic) + PARTITION_PARAMETER + query;
        return client.post(
                        client.newRequest(address, target, CALL_TIMEOUT_MILLIS),
                        RecordFormat.encode(records))
                .thenApply(
                        response -> {
                            checkStatus(response);
                            return Json.read(response.body()).path("end").asLong();
                        });
    }

    private CompletableFuture<JsonNode> readPage(String target) {
        return client.send(client.newRequest(address, target, CALL_TIMEOUT_MILLIS).GET())
                .thenApply(
                        response -> {
                            checkStatus(response);
                            return Json.read(response.body());
                        });
    }

    private static void checkStatus(HttpResponse<byte[]> response) {
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
                                ErrorCode.EPOCH_SHARED, problem, "claim a higher epoch");
            }
            case 410 ->
                    throw new StandlinkException(
                            ErrorCode.LOG_GAP, problem, "read the newest record of each key");
            case 412 ->
                    throw new StandlinkException(
                            ErrorCode.CONDITION_FAILED,
                            problem,
                            "read the records that were written in the meantime");
            default ->
                    throw new StandlinkException(
                            ErrorCode.PLATFORM_UNAVAILABLE, problem, "try again later");
        }
    }

    /** The binary format of records, with four-byte record lengths and one-byte key lengths. */
    static final class RecordFormat {

        /**
         * The length of the header of a read answer: the end and the first retained offset of the
         * topic.
         */
        static final int HEADER_BYTES = 16;

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
                size += StoreLimits.lengthOf(record);
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
         * Decodes a read answer.
         *
         * @param body the answer
         * @param from the offset that was requested
         * @return the records and the offset that follows them
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
         * @param bytes the records, without anything after them
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
