import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's metadata store: appends with conditions and producers, reads that wait, and the
 * newest record of each key. It keeps its whole history and never fails; what is done to the path
 * between it and a process is up to {@link Proxy}.
 */
final class Store extends StandInServer {

    /** How long an append takes, in milliseconds. */
    private static final long APPEND_MILLIS = 4;

    /** How many of the last answers to a producer are kept. */
    private static final int KEPT_ANSWERS = 5;

    /** How many items a page of newest records has at most. */
    private static final int PAGE_ITEMS = 500;

    /** How many bytes a record and an append have at most: `record_bytes` and `call_bytes`. */
    private static final int RECORD_BYTES = 262_144;

    private static final int CALL_BYTES = 2_097_152;

    /** How long a channel on which an answer was lost says nothing, in milliseconds. */
    private static final long SILENCE_MILLIS = 30_000;

    /** Called for appends, before they are answered. */
    interface AppendListener {

        /** The records were appended. */
        void appended(String topic, Map<String, String> query, List<Entry> records);

        /** The number was one of the last five: its first answer was given again, for any body. */
        default void answeredAgain(String topic, Map<String, String> query, List<Entry> records) {}

        /** A record or the whole append was too large, so that nothing was appended. */
        default void refused(String topic, int recordBytes, int callBytes) {}

        /** Returns whether the answer to an append that was done is lost. */
        default boolean losesAnswer(String topic, Map<String, String> query) {
            return false;
        }
    }

    /** A record of a topic with keys. */
    record Entry(String key, byte[] value) {}

    private static final class Producer {
        private long epoch;
        private long lastSequence = -1;
        private final LinkedHashMap<Long, ObjectNode> answers = new LinkedHashMap<>();
    }

    private static final class Partition {
        private final List<byte[]> raw = new ArrayList<>();
        private int firstKept;
        private final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Partition> topics = new HashMap<>();

    private volatile AppendListener listener = (topic, query, records) -> {};

    Store() throws IOException {}

    void setListener(AppendListener newListener) {
        listener = newListener;
    }

    /** Writes a manifest as the operator does. */
    synchronized void publishManifest(String manifest) {
        byte[] key = "config".getBytes(StandardCharsets.US_ASCII);
        byte[] value = manifest.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + key.length + value.length);
        record.put((byte) key.length).put(key).put(value);
        getPartition("keyed.op").raw.add(record.array());
        notifyAll();
    }

    @Override
    Answer handle(
            String method,
            String path,
            Map<String, String> query,
            HttpExchange call,
            byte[] body)
            throws Exception {
        return switch (path) {
            case "/v1/log-append" -> {
                Answer answer = append(query, body);
                if (answer.status() == 200 && listener.losesAnswer(query.get("topic"), query)) {
                    Thread.sleep(SILENCE_MILLIS);
                    answer = null;
                }
                yield answer;
            }
            case "/v1/log-read" -> read(query);
            case "/v1/log-newest" -> readNewest(query);
            default -> Answer.of(404, JSON.createObjectNode());
        };
    }

    /** Forgets the records of a topic; the newest of each key stay. */
    synchronized void dropHistory(String topic) {
        Partition partition = getPartition(topic);
        partition.firstKept = partition.raw.size();
    }

    private Partition getPartition(String topic) {
        return topics.computeIfAbsent(topic, name -> new Partition());
    }

    private synchronized Answer append(Map<String, String> query, byte[] body)
            throws InterruptedException {
        Thread.sleep(APPEND_MILLIS);
        String topic = query.get("topic");
        Partition partition = getPartition(topic);
        int largest = split(body).stream().mapToInt(record -> record.length).max().orElse(0);
        if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
            listener.refused(topic, largest, body.length);
            return Answer.of(413, JSON.createObjectNode());
        }
        long end = partition.raw.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return Answer.of(412, JSON.createObjectNode().put("end", end));
        }
        Producer producer = null;
        long sequence = -1;
        if (query.containsKey("producer")) {
            producer =
                    partition.producers.computeIfAbsent(
                            query.get("producer"), name -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            if (epoch < producer.epoch) {
                return Answer.of(409, JSON.createObjectNode().put("reason", "fenced"));
            }
            if (epoch > producer.epoch) {
                producer.epoch = epoch;
                producer.lastSequence = -1;
                producer.answers.clear();
            }
            if (query.containsKey("seq")) {
                sequence = Long.parseLong(query.get("seq"));
                if (producer.answers.containsKey(sequence)) {
                    List<Entry> entries = split(body).stream().map(Store::toEntry).toList();
                    listener.answeredAgain(topic, query, entries);
                    return Answer.of(200, producer.answers.get(sequence));
                }
                if (producer.lastSequence >= 0 && sequence != producer.lastSequence + 1) {
                    return Answer.of(
                            409,
                            JSON.createObjectNode()
                                    .put("reason", "seq")
                                    .put("seq", producer.lastSequence + 1));
                }
            }
        }
        List<byte[]> records = split(body);
        partition.raw.addAll(records);
        ObjectNode answer = JSON.createObjectNode().put("offset", end).put("end", partition.raw.size());
        if (sequence >= 0) {
            producer.lastSequence = sequence;
            producer.answers.put(sequence, answer);
            if (producer.answers.size() > KEPT_ANSWERS) {
                producer.answers.remove(producer.answers.keySet().iterator().next());
            }
        }
        notifyAll();
        listener.appended(topic, query, records.stream().map(Store::toEntry).toList());
        return Answer.of(200, answer);
    }

    private synchronized Answer read(Map<String, String> query) throws InterruptedException {
        Partition partition = getPartition(query.get("topic"));
        long from = Long.parseLong(query.get("from"));
        long deadline =
                System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long remaining = deadline - System.nanoTime();
        while (partition.raw.size() <= from && remaining > 0) {
            wait(remaining / 1_000_000 + 1);
            remaining = deadline - System.nanoTime();
        }
        if (from < partition.firstKept) {
            return Answer.of(410, JSON.createObjectNode().put("first", partition.firstKept));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long end = partition.raw.size();
        bytes.writeBytes(ByteBuffer.allocate(16).putLong(end).putLong(partition.firstKept).array());
        for (long offset = from; offset < partition.raw.size(); offset++) {
            byte[] record = partition.raw.get((int) offset);
            bytes.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
            bytes.writeBytes(record);
        }
        return new Answer(200, bytes.toByteArray());
    }

    private synchronized Answer readNewest(Map<String, String> query) {
        Partition partition = getPartition(query.get("topic"));
        Map<String, Integer> newest = new java.util.TreeMap<>();
        for (int offset = 0; offset < partition.raw.size(); offset++) {
            Entry entry = toEntry(partition.raw.get(offset));
            if (entry.value().length == 0) {
                newest.remove(entry.key());
            } else {
                newest.put(entry.key(), offset);
            }
        }
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        String after = query.getOrDefault("after", "");
        boolean more = false;
        for (Map.Entry<String, Integer> entry : newest.entrySet()) {
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            byte[] value = toEntry(partition.raw.get(entry.getValue())).value();
            items.addObject()
                    .put("tls_key", entry.getKey())
                    .put("value", Base64.getEncoder().encodeToString(value))
                    .put("offset", entry.getValue());
        }
        return Answer.of(200, answer.put("more", more).put("end", partition.raw.size()));
    }

    private static List<byte[]> split(byte[] body) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            records.add(record);
        }
        return records;
    }

    private static Entry toEntry(byte[] record) {
        int keyEnd = 1 + (record[0] & 0xff);
        String key = new String(record, 1, keyEnd - 1, StandardCharsets.US_ASCII);
        return new Entry(key, Arrays.copyOfRange(record, keyEnd, record.length));
    }
}
