import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A minion: runs what it is told to run, for as long as it may hold it, and checks in at the agent
 * of its machine. It does not guard its capacity. A task's spec tells what its runs do, see
 * {@link Behaviour}.
 */
final class Minion extends StandInServer {

    private static final long CHECK_IN_MILLIS = 1500;

    private static final long MAX_HOLD_MILLIS = 6000;

    private static final long TICK_MILLIS = 10;

    private static final int MAX_LISTED_ENDS = 500;

    /** How long a task that lasts takes before it works, in milliseconds. */
    private static final long WARM_UP_MILLIS = 400;

    /** How long a run of a task that lasts works before it ends "done", if it does. */
    private static final long DONE_MILLIS = 4000;

    private static final AtomicInteger LIVES = new AtomicInteger();

    /** Called for each start and each end of a run. */
    interface RunListener {
        void started(Minion minion, String task, int run);

        void ended(Minion minion, String task, int run, String how);
    }

    /**
     * What the runs of a task do.
     *
     * @param workMillis how long a run works; 0 if it lasts
     * @param failingRuns the runs up to this number end "failed"
     * @param saveMillis a checkpoint is made after each such time of work; 0 if there is none
     * @param doneRuns the runs up to this number end "done" though the task lasts
     */
    private record Behaviour(long workMillis, int failingRuns, int doneRuns, long saveMillis) {

        static Behaviour parse(String spec) {
            Map<String, Long> values = new HashMap<>();
            for (String part : spec.split(";")) {
                String[] pair = part.split("=");
                values.put(pair[0], Long.parseLong(pair[1]));
            }
            return new Behaviour(
                    values.getOrDefault("work", 0L),
                    values.getOrDefault("fail", 0L).intValue(),
                    values.getOrDefault("done", 0L).intValue(),
                    values.getOrDefault("save", 0L));
        }
    }

    private record Run(String task, int number, Behaviour behaviour, long startedAt) {}

    private record End(long number, String task, int run, String how) {}

    private final String name;

    private final String agentAddress;

    private final Recorder recorder;

    private final RunListener listener;

    private final HttpClient client = HttpClient.newHttpClient();

    private String id;

    private volatile boolean recordsRuns = true;

    private volatile boolean shedsStarts;

    private boolean up;

    private long checkInNumber;

    private long fence;

    private long heldUntil;

    private long lastEnd;

    private final Map<String, Run> running = new LinkedHashMap<>();

    private final Map<String, Integer> lastEndedRuns = new HashMap<>();

    private final List<End> ended = new ArrayList<>();

    Minion(String name, String agentAddress, Recorder recorder, RunListener listener)
            throws IOException {
        this.name = name;
        this.agentAddress = agentAddress;
        this.recorder = recorder;
        this.listener = listener;
    }

    /** Begins a life. */
    synchronized void begin() throws IOException {
        id = "i-" + String.format("%08x", 0x5a000000 + LIVES.incrementAndGet());
        fence = 0;
        lastEnd = 0;
        heldUntil = 0;
        checkInNumber = 0;
        up = true;
        open();
        recorder.record("minion " + name + " begins its life " + id);
        startThread(id);
    }

    /** Ends the life at once: all that runs is gone, and nobody is told. */
    void crash() {
        shut();
        synchronized (this) {
            up = false;
            recorder.record("minion " + name + " crashes, life " + id + ", running " + running.keySet());
            running.clear();
            lastEndedRuns.clear();
            ended.clear();
            notifyAll();
        }
    }

    String getName() {
        return name;
    }

    /** Sets whether each run is written to the record. */
    void setRecordsRuns(boolean records) {
        recordsRuns = records;
    }

    /** Sets whether it turns all starts away because it is unwell. */
    void setShedsStarts(boolean sheds) {
        shedsStarts = sheds;
        recorder.record("minion " + name + (sheds ? " answers 503 to starts" : " takes starts again"));
    }

    synchronized int countRunning() {
        return running.size();
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    private void startThread(String life) {
        Thread thread = new Thread(() -> live(life), "minion-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void live(String life) {
        long nextCheckIn = 0;
        try {
            while (true) {
                synchronized (this) {
                    if (!up || !id.equals(life)) {
                        return;
                    }
                    endRuns();
                }
                if (clockMillis() >= nextCheckIn) {
                    nextCheckIn = clockMillis() + CHECK_IN_MILLIS;
                    checkIn();
                }
                Thread.sleep(TICK_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static long clockMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized void checkIn() {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("service", "work")
                        .put("address", getAddress())
                        .put("zone", "zone-a")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("clock_ms", clockMillis())
                        .put("seq", ++checkInNumber);
        body.putObject("capacity").put("cpu", 16_000).put("mem_mb", 62_500).put("gpu", 0);
        body.putArray("labels").add("a").add("r1");
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + agentAddress + "/v1/instances/" + id))
                        .timeout(Duration.ofSeconds(1))
                        .header("Content-Type", "application/json")
                        .PUT(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        CompletableFuture<HttpResponse<Void>> ignored =
                client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    private void endRuns() {
        long now = clockMillis();
        for (Run run : List.copyOf(running.values())) {
            Behaviour behaviour = run.behaviour();
            long worked = now - run.startedAt();
            if (now >= heldUntil) {
                end(run, "lapsed");
            } else if (behaviour.workMillis() > 0 && worked >= behaviour.workMillis()) {
                end(run, run.number() <= behaviour.failingRuns() ? "failed" : "done");
            } else if (run.number() <= behaviour.doneRuns() && worked >= DONE_MILLIS) {
                end(run, "done");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        lastEndedRuns.merge(run.task(), run.number(), Math::max);
        ended.add(new End(++lastEnd, run.task(), run.number(), how));
        if (recordsRuns) {
            recorder.record("run " + run.task() + "#" + run.number() + " ends " + how + " on " + name);
        }
        listener.ended(this, run.task(), run.number(), how);
        notifyAll();
    }

    // -----------------------------------------------------------------------
    @Override
    synchronized Answer handle(
            String method,
            String path,
            Map<String, String> query,
            HttpExchange call,
            byte[] body)
            throws Exception {
        String expected = call.getRequestHeaders().getFirst("X-Expect-Instance");
        if (!up) {
            return null;
        }
        if (expected != null && !expected.equals(id)) {
            return answer(421, "");
        }
        JsonNode fields = JSON.readTree(body);
        long token = fields.path("fencing_token").asLong();
        if (token < fence) {
            return answer(409, "fence");
        }
        fence = token;
        return switch (path) {
            case "/v1/run-start" -> start(fields);
            case "/v1/run-stop" -> stop(fields);
            case "/v1/hold" -> hold(fields);
            case "/v1/pace" -> answer(200, "");
            default -> answer(404, "");
        };
    }

    private Answer answer(int status, String reason) {
        ObjectNode body = JSON.createObjectNode().put("clock_ms", clockMillis());
        if (!reason.isEmpty()) {
            body.put("reason", reason);
        }
        return Answer.of(status, body);
    }

    private boolean extendHold(JsonNode fields) {
        long until = Math.min(fields.path("until_ms").asLong(), clockMillis() + MAX_HOLD_MILLIS);
        heldUntil = Math.max(heldUntil, until);
        return until > clockMillis();
    }

    private Answer start(JsonNode fields) {
        String task = fields.path("task").asText();
        int number = fields.path("run_id").asInt();
        if (shedsStarts) {
            recorder.record("run " + task + "#" + number + " is turned away with 503 by " + name);
            return answer(503, "");
        }
        if (!extendHold(fields)) {
            return answer(409, "late");
        }
        Run present = running.get(task);
        if (present != null && present.number() == number) {
            return answer(200, "");
        }
        if (present != null || number <= lastEndedRuns.getOrDefault(task, 0)) {
            return answer(409, "old");
        }
        String spec = fields.path("spec").asText();
        running.put(task, new Run(task, number, Behaviour.parse(spec), clockMillis()));
        if (recordsRuns) {
            recorder.record(
                    "run " + task + "#" + number + " starts on " + name + ", " + id + ", spec " + spec);
        }
        listener.started(this, task, number);
        return answer(200, "");
    }

    private Answer stop(JsonNode fields) {
        String task = fields.path("task").asText();
        int number = fields.path("run_id").asInt();
        Run present = running.get(task);
        if (present != null && present.number() <= number) {
            end(present, "stopped");
        }
        lastEndedRuns.merge(task, number, Math::max);
        return answer(200, "");
    }

    private static String makeCheckpoint(Run run, long worked) {
        long saveMillis = run.behaviour().saveMillis();
        boolean saved = saveMillis > 0 && worked >= saveMillis;
        return saved ? String.format("%08x%08x", worked / saveMillis, run.task().hashCode()) : "";
    }

    private Answer hold(JsonNode fields) throws InterruptedException {
        if (fields.has("until_ms")) {
            extendHold(fields);
        }
        long lastSeen = fields.path("last_seen").asLong();
        ended.removeIf(end -> end.number() <= lastSeen);
        String life = id;
        long deadline = clockMillis() + fields.path("wait_ms").asLong();
        while (ended.isEmpty() && clockMillis() < deadline && up && life.equals(id)) {
            wait(Math.max(1, deadline - clockMillis()));
        }
        if (!up || !life.equals(id)) {
            return null;
        }
        ObjectNode answer = JSON.createObjectNode().put("clock_ms", clockMillis());
        ArrayNode runningRows = answer.putArray("running");
        for (Run run : running.values()) {
            long worked = clockMillis() - run.startedAt();
            long whole = run.behaviour().workMillis();
            long percent = whole > 0 ? 100 * worked / whole : worked >= WARM_UP_MILLIS ? 100 : 0;
            runningRows
                    .addArray()
                    .add(run.task())
                    .add(run.number())
                    .add(makeCheckpoint(run, worked))
                    .add(Math.min(whole > 0 ? 99 : 100, percent))
                    .add(whole > 0 ? 500 : 5);
        }
        ArrayNode endedRows = answer.putArray("ended");
        ended.stream()
                .limit(MAX_LISTED_ENDS)
                .forEach(
                        end ->
                                endedRows
                                        .addArray()
                                        .add(end.number())
                                        .add(end.task())
                                        .add(end.run())
                                        .add(end.how())
                                        .add(""));
        return Answer.of(200, answer);
    }
}
