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
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import org.standlink.process.HttpService;
import org.standlink.store.KeyedRecord;

/**
 * In-memory stand-in for the platform's store: keyed topics of one partition, conditional appends
 * and the epochs of writers. It retains all records and never fails.
 *
 * <p>{@code StandInStore} is thread-safe.
 */
public final class StandInStore implements AutoCloseable {

    /** The maximum time for which a read waits for a record, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 30_000;

    /** The topics by name; guarded by this. */
    private final Map<String, TopicLog> topics = new HashMap<>();

    private final HttpService server;

    /** The records of one topic. */
    private static final class TopicLog {

        private final List<KeyedRecord> records = new ArrayList<>();
        private long epoch;

        /** Finds the newest record of each key, without those whose newest record has no value. */
        private Map<String, KeyedRecord> findNewest() {
            Map<String, KeyedRecord> newest = new LinkedHashMap<>();
            for (KeyedRecord record : records) {
                newest.remove(record.key());
                if (record.value().length > 0) {
                    newest.put(record.key(), record);
                }
            }
            return newest;
        }
    }

    /**
     * Creates a store and starts to listen.
     *
     * @param address the address to listen on; port 0 for any free port
     * @param threads runs the request handlers; a read that waits occupies a thread
     */
    public StandInStore(InetSocketAddress address, ExecutorService threads) {
        server =
                new HttpService(address, threads)
                        .addHandler("POST", "/v1/log-append", this::append)
                        .addHandler("GET", "/v1/log-read", this::read)
                        .addHandler("GET", "/v1/log-newest", this::readNewest);
    }

    /**
     * Gets the port on which the store listens.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Publishes a configuration, as the operator does.
     *
     * @param configuration the JSON text
     */
    public synchronized void publishConfiguration(String configuration) {
        byte[] value = Json.write(Json.read(configuration.getBytes(StandardCharsets.UTF_8)));
        getLog("keyed.op").records.add(new KeyedRecord("config", value));
        notifyAll();
    }

    @Override
    public void close() {
        server.close();
    }

    // -----------------------------------------------------------------------
    private TopicLog getLog(String topic) {
        return topics.computeIfAbsent(topic, name -> new TopicLog());
    }

    private synchronized HttpService.Answer append(HttpService.Request request) {
        TopicLog log = getLog(request.getParameter("topic", ""));
        long end = log.records.size();
        if (Long.parseLong(request.getParameter("at", Long.toString(end))) != end) {
            return jsonAnswer(412, Json.newObject().put("end", end));
        }
        long epoch = Long.parseLong(request.getParameter("epoch", Long.toString(log.epoch)));
        if (epoch < log.epoch) {
            return jsonAnswer(409, Json.newObject().put("reason", "fenced"));
        }
        log.epoch = epoch;
        log.records.addAll(HttpStore.RecordFormat.decodeRecords(ByteBuffer.wrap(request.body())));
        notifyAll();
        return jsonAnswer(200, Json.newObject().put("offset", end).put("end", log.records.size()));
    }

    private synchronized HttpService.Answer read(HttpService.Request request) {
        TopicLog log = getLog(request.getParameter("topic", ""));
        long from = Long.parseLong(request.getParameter("from", "0"));
        awaitRecord(log, from, Long.parseLong(request.getParameter("wait_ms", "0")));
        int end = log.records.size();
        List<KeyedRecord> found = from < end ? log.records.subList((int) from, end) : List.of();
        byte[] records = HttpStore.RecordFormat.encode(found);
        byte[] body =
                ByteBuffer.allocate(HttpStore.RecordFormat.HEADER_BYTES + records.length)
                        .putLong(end)
                        .putLong(0)
                        .put(records)
                        .array();
        return new HttpService.Answer(200, "application/octet-stream", body);
    }

    private void awaitRecord(TopicLog log, long from, long waitMillis) {
        long end = System.nanoTime() + Math.min(waitMillis, MAX_WAIT_MILLIS) * 1_000_000;
        try {
            for (long remainingNanos = end - System.nanoTime();
                    log.records.size() == from && remainingNanos > 0;
                    remainingNanos = end - System.nanoTime()) {
                wait(remainingNanos / 1_000_000 + 1);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized HttpService.Answer readNewest(HttpService.Request request) {
        TopicLog log = getLog(request.getParameter("topic", ""));
        ObjectNode answer = Json.newObject();
        ArrayNode items = answer.putArray("items");
        for (KeyedRecord record : log.findNewest().values()) {
            items.addObject()
                    .put("tls_key", record.key())
                    .put("value", Base64.getEncoder().encodeToString(record.value()));
        }
        return jsonAnswer(200, answer.put("more", false).put("end", log.records.size()));
    }

    private static HttpService.Answer jsonAnswer(int status, JsonNode body) {
        return new HttpService.Answer(status, "application/json", Json.write(body));
    }
}
