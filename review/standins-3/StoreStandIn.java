import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A sound stand-in of the platform's store: topics with conditions, producers and newest records.
 * It loses nothing and drops no history.
 */
final class StoreStandIn {

    /** How long an answer takes, in milliseconds. */
    private static final long ANSWER_MILLIS = 4;

    private static final class Producer {
        long epoch = -1;
        long sequence = -1;
        final Deque<long[]> last = new ArrayDeque<>();
    }

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();

    StoreStandIn(int port) throws IOException {
        HttpServer server = Http.newServer(port);
        server.createContext("/v1/log-append", this::append);
        server.createContext("/v1/log-read", this::read);
        server.createContext("/v1/log-newest", this::newest);
        server.start();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    /** Writes a record as the operator does. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.US_ASCII);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        topic(topic).records.add(record.array());
        notifyAll();
    }

    private void append(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        pause();
        Map<String, String> query = Http.query(exchange);
        ObjectNode answer = Http.MAPPER.createObjectNode();
        int status;
        synchronized (this) {
            status = append(query, body, answer);
            notifyAll();
        }
        Http.answerJson(exchange, status, answer);
    }

    private int append(Map<String, String> query, byte[] body, ObjectNode answer) {
        Topic topic = topic(query.get("topic"));
        long end = topic.records.size();
        Producer producer = null;
        long sequence = -1;
        if (query.containsKey("producer")) {
            producer = topic.producers.computeIfAbsent(query.get("producer"), k -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            if (epoch < producer.epoch) {
                answer.put("reason", "fenced");
                return 409;
            }
            boolean raised = epoch > producer.epoch;
            if (query.containsKey("seq")) {
                sequence = Long.parseLong(query.get("seq"));
                if (!raised) {
                    for (long[] earlier : producer.last) {
                        if (earlier[0] == sequence) {
                            answer.put("offset", earlier[1]).put("end", earlier[2]);
                            return 200;
                        }
                    }
                    if (producer.sequence >= 0 && sequence != producer.sequence + 1) {
                        answer.put("reason", "seq").put("seq", producer.sequence + 1);
                        return 409;
                    }
                }
            }
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
                answer.put("end", end);
                return 412;
            }
            if (raised) {
                producer.epoch = epoch;
                producer.sequence = -1;
                producer.last.clear();
            }
        } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            answer.put("end", end);
            return 412;
        }
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() > 4) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            topic.records.add(record);
        }
        long newEnd = topic.records.size();
        if (producer != null && sequence >= 0) {
            producer.sequence = sequence;
            producer.last.addLast(new long[] {sequence, end, newEnd});
            if (producer.last.size() > 5) {
                producer.last.removeFirst();
            }
        }
        answer.put("offset", end).put("end", newEnd);
        return 200;
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = Http.query(exchange);
        long from = Long.parseLong(query.get("from"));
        long until =
                System.nanoTime()
                        + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        pause();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (from == topic.records.size() && System.nanoTime() < until) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            int end = topic.records.size();
            out.write(ByteBuffer.allocate(16).putLong(end).putLong(0).array());
            for (long i = from; i < end && out.size() < 1_000_000; i++) {
                byte[] record = topic.records.get((int) i);
                out.write(ByteBuffer.allocate(4).putInt(record.length).array());
                out.write(record);
            }
        }
        Http.answer(exchange, 200, "application/octet-stream", out.toByteArray());
    }

    private void newest(HttpExchange exchange) throws IOException {
        Map<String, String> query = Http.query(exchange);
        pause();
        ObjectNode answer = Http.MAPPER.createObjectNode();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            TreeMap<String, Integer> offsets = new TreeMap<>();
            for (int i = 0; i < topic.records.size(); i++) {
                byte[] record = topic.records.get(i);
                String key = keyOf(record);
                if (record.length > 1 + (record[0] & 255)) {
                    offsets.put(key, i);
                } else {
                    offsets.remove(key);
                }
            }
            ArrayNode items = answer.putArray("items");
            String after = query.get("after");
            boolean more = false;
            for (Map.Entry<String, Integer> entry :
                    (after == null ? offsets : offsets.tailMap(after, false)).entrySet()) {
                if (items.size() == 500) {
                    more = true;
                    break;
                }
                byte[] record = topic.records.get(entry.getValue());
                byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 255), record.length);
                items.addObject()
                        .put("tls_key", entry.getKey())
                        .put("value", Base64.getEncoder().encodeToString(value))
                        .put("offset", entry.getValue());
            }
            answer.put("more", more).put("end", topic.records.size());
        }
        Http.answerJson(exchange, 200, answer);
    }

    private static String keyOf(byte[] record) {
        return new String(record, 1, record[0] & 255, StandardCharsets.US_ASCII);
    }

    private static void pause() {
        try {
            Thread.sleep(ANSWER_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
