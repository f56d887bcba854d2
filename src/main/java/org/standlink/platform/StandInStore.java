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
 * A stand-in for the platform's store, in memory: keyed topics of one partition, conditions and
 * writers' epochs. It forgets nothing and never fails.
 *
 * <p>{@code StandInStore} is thread-safe.
 */
public final class StandInStore implements AutoCloseable {

    /** The longest wait of a read, in milliseconds. */
    private static final long MOST_WAIT_MILLIS = 30_000;

    /** The topics by name; guarded by this. */
    private final Map<String, Log> topics = new HashMap<>();

    /** The server. */
    private final HttpService server;

    /** The records of one topic. */
    private static final class Log {

        private final List<KeyedRecord> records = new ArrayList<>();
        private long epoch;

        /** The newest record of each key, those without a value left out. */
        private Map<String, KeyedRecord> newest() {
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
     * Constructor, which starts to listen.
     *
     * @param address where to listen; port 0 takes a free port
     * @param threads the threads that answer; a read that waits holds one
     */
    public StandInStore(InetSocketAddress address, ExecutorService threads) {
        server =
                new HttpService(address, threads)
                        .on("POST", "/v1/log-append", this::append)
                        .on("GET", "/v1/log-read", this::read)
                        .on("GET", "/v1/log-newest", this::newest);
    }

    /**
     * Gets the port listened on.
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
        log("keyed.op").records.add(new KeyedRecord("config", value));
        notifyAll();
    }

    @Override
    public void close() {
        server.close();
    }

    // -----------------------------------------------------------------------
    private Log log(String topic) {
        return topics.computeIfAbsent(topic, name -> new Log());
    }

    private synchronized HttpService.Answer append(HttpService.Request request) {
        Log log = log(request.getParameter("topic", ""));
        long end = log.records.size();
        if (Long.parseLong(request.getParameter("at", Long.toString(end))) != end) {
            return json(412, Json.newObject().put("end", end));
        }
        long epoch = Long.parseLong(request.getParameter("epoch", Long.toString(log.epoch)));
        if (epoch < log.epoch) {
            return json(409, Json.newObject().put("reason", "fenced"));
        }
        log.epoch = epoch;
        log.records.addAll(HttpStore.RecordFormat.decodeRecords(ByteBuffer.wrap(request.body())));
        notifyAll();
        return json(200, Json.newObject().put("offset", end).put("end", log.records.size()));
    }

    private synchronized HttpService.Answer read(HttpService.Request request) {
        Log log = log(request.getParameter("topic", ""));
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

    private void awaitRecord(Log log, long from, long waitMillis) {
        long end = System.nanoTime() + Math.min(waitMillis, MOST_WAIT_MILLIS) * 1_000_000;
        try {
            for (long left = end - System.nanoTime();
                    log.records.size() == from && left > 0;
                    left = end - System.nanoTime()) {
                wait(left / 1_000_000 + 1);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized HttpService.Answer newest(HttpService.Request request) {
        Log log = log(request.getParameter("topic", ""));
        ObjectNode answer = Json.newObject();
        ArrayNode items = answer.putArray("items");
        for (KeyedRecord record : log.newest().values()) {
            items.addObject()
                    .put("tls_key", record.key())
                    .put("value", Base64.getEncoder().encodeToString(record.value()));
        }
        return json(200, answer.put("more", false).put("end", log.records.size()));
    }

    private static HttpService.Answer json(int status, JsonNode body) {
        return new HttpService.Answer(status, "application/json", Json.write(body));
    }
}
