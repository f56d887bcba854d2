import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: keyed topics with conditions, producers and waiting reads. */
final class Store implements AutoCloseable {

    /** The limits in the settings: platform.record_bytes and platform.call_bytes. */
    static final int RECORD_BYTES = 262_144;

    static final int CALL_BYTES = 2_097_152;

    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private final Rig rig;
    private final HttpServer server;
    private final Map<String, Log> topics = new HashMap<>();

    /** The number of appends that were longer than the settings allow. */
    private int refused;

    /** Whether the answer to the next append of the leader is lost and the history forgotten. */
    private boolean forgetting;

    private static final class Log {
        /** The first record that is kept. */
        int first;

        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, byte[]> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Producer {
        long epoch = -1;
        long sequence = -1;
        final Map<Long, long[]> answers = new TreeMap<>();
    }

    Store(Rig rig) throws IOException {
        this.rig = rig;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/v1/log-append", exchange -> handle(exchange, this::append));
        server.createContext("/v1/log-read", exchange -> handle(exchange, this::read));
        server.createContext("/v1/log-newest", exchange -> handle(exchange, this::newest));
        server.start();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    /**
     * Loses the answer to the next append to the state of the cell, which is done, and forgets the
     * history of that topic at the same moment. The newest record of each key stays.
     */
    synchronized void loseAnswerAndForget() {
        forgetting = true;
    }

    /** Writes a record as the operator does. */
    synchronized void publish(String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.US_ASCII);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        add(log("keyed.op"), record.array());
        notifyAll();
    }

    private record Reply(int status, byte[] body) {}

    private interface Handler {
        Reply handle(Map<String, String> query, byte[] body) throws IOException;
    }

    private void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
            Reply reply = handler.handle(query, exchange.getRequestBody().readAllBytes());
            if (reply == null) {
                // The channel says nothing more.
                Rig.sleep(60_000);
                return;
            }
            exchange.sendResponseHeaders(reply.status(), reply.body().length);
            exchange.getResponseBody().write(reply.body());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static Reply json(int status, ObjectNode body) {
        return new Reply(status, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private Log log(String topic) {
        return topics.computeIfAbsent(topic, name -> new Log());
    }

    private static void add(Log log, byte[] record) {
        log.records.add(record);
        int keyEnd = 1 + (record[0] & 0xff);
        String key = new String(record, 1, keyEnd - 1, StandardCharsets.US_ASCII);
        if (keyEnd == record.length) {
            log.newest.remove(key);
        } else {
            log.newest.put(key, Arrays.copyOfRange(record, keyEnd, record.length));
        }
    }

    private synchronized Reply append(Map<String, String> query, byte[] body) {
        Log log = log(query.get("topic"));
        long end = log.records.size();
        List<byte[]> records = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        int longest = 0;
        while (bytes.remaining() >= 4) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            records.add(record);
            longest = Math.max(longest, record.length);
        }
        if (longest > RECORD_BYTES || body.length > CALL_BYTES) {
            refused++;
            if (refused % 50 == 1) {
                rig.log(
                        "store: refused an append to "
                                + query.get("topic")
                                + " by epoch "
                                + query.get("epoch")
                                + ": longest record "
                                + longest
                                + " bytes, call "
                                + body.length
                                + " bytes; refused so far: "
                                + refused);
            }
            return json(400, Rig.JSON.createObjectNode().put("error", "too long"));
        }
        if (query.containsKey("producer")) {
            Producer producer =
                    log.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            if (epoch < producer.epoch) {
                return json(409, Rig.JSON.createObjectNode().put("reason", "fenced"));
            }
            if (epoch > producer.epoch) {
                producer.epoch = epoch;
                producer.sequence = -1;
                producer.answers.clear();
            }
            if (query.containsKey("seq")) {
                long sequence = Long.parseLong(query.get("seq"));
                long[] first = producer.answers.get(sequence);
                if (first != null) {
                    return appended(first[0], first[1]);
                }
                if (producer.sequence >= 0 && sequence != producer.sequence + 1) {
                    return json(
                            409,
                            Rig.JSON
                                    .createObjectNode()
                                    .put("reason", "seq")
                                    .put("seq", producer.sequence + 1));
                }
                if (isElsewhere(query, end)) {
                    return json(412, Rig.JSON.createObjectNode().put("end", end));
                }
                producer.sequence = sequence;
                producer.answers.put(sequence, new long[] {end, end + records.size()});
                producer.answers.keySet().removeIf(number -> number <= sequence - 5);
            }
        }
        if (isElsewhere(query, end)) {
            return json(412, Rig.JSON.createObjectNode().put("end", end));
        }
        records.forEach(record -> add(log, record));
        notifyAll();
        if (forgetting && query.containsKey("seq")) {
            forgetting = false;
            log.first = log.records.size();
            rig.log("store: did append " + query.get("seq") + ", LOST its answer, FORGOT the history");
            return null;
        }
        return appended(end, log.records.size());
    }

    private static boolean isElsewhere(Map<String, String> query, long end) {
        return query.containsKey("at") && Long.parseLong(query.get("at")) != end;
    }

    private static Reply appended(long offset, long end) {
        return json(200, Rig.JSON.createObjectNode().put("offset", offset).put("end", end));
    }

    private synchronized Reply read(Map<String, String> query, byte[] body) {
        Log log = log(query.get("topic"));
        long from = Long.parseLong(query.get("from"));
        long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long until = System.nanoTime() + Math.min(wait, 30_000) * 1_000_000;
        try {
            while (log.records.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        int end = log.records.size();
        if (from < log.first) {
            return json(410, Rig.JSON.createObjectNode().put("first", log.first));
        }
        int size = 16;
        int last = (int) Math.min(from, end);
        int first = last;
        while (last < end && size + 4 + log.records.get(last).length <= 1024 * 1024) {
            size += 4 + log.records.get(last).length;
            last++;
        }
        ByteBuffer answer = ByteBuffer.allocate(size).putLong(end).putLong(log.first);
        for (byte[] record : log.records.subList(first, last)) {
            answer.putInt(record.length).put(record);
        }
        return new Reply(200, answer.array());
    }

    private synchronized Reply newest(Map<String, String> query, byte[] body) {
        Log log = log(query.get("topic"));
        String after = query.get("after");
        ObjectNode answer = Rig.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, byte[]> entry :
                (after == null ? log.newest : log.newest.tailMap(after, false)).entrySet()) {
            bytes += entry.getValue().length;
            if (items.size() == PAGE_RECORDS || items.size() > 0 && bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            items.addObject()
                    .put("tls_key", entry.getKey())
                    .put("value", Base64.getEncoder().encodeToString(entry.getValue()))
                    .put("offset", 0);
        }
        return json(200, answer.put("more", more).put("end", log.records.size()));
    }
}
