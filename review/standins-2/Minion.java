import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A minion that runs tasks for as long as their spec says: {"ms": 500} ends done after 500 ms, 0
 * lasts; {"fail": 1} makes the first run of each task fail at its end, {"then": 0} sets how long later
 * runs take.
 */
final class Minion implements AutoCloseable {

    /** The bounds of the settings: bounds.max_hold_ms. */
    private static final long MOST_HOLD_MILLIS = 6000;

    private final Rig rig;
    private final int number;
    private final String control;
    private final long cpu;
    private final int port;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();

    /** How often each task has been started, by any life; guarded by this class. */
    private static final Map<String, Integer> STARTS = new HashMap<>();

    private int lives;
    private String id;
    private HttpServer server;
    private boolean up;
    private long sequence;
    private long highestFence;
    private long holdUntil;
    private long endNumber;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Object[]> ended = new ArrayList<>();

    /** The highest run stopped or ended here, by task. */
    private final Map<String, Long> over = new HashMap<>();

    /** The number of starts, and of ends, that are written to the record. */
    private static final int MOST_LOGGED = 300;

    private static final AtomicInteger STARTS_LOGGED =
            new AtomicInteger();

    /** Counts the tasks, of the jobs whose id begins so, that have been started. */
    static int countStarted(String job) {
        synchronized (STARTS) {
            return (int) STARTS.keySet().stream().filter(task -> task.startsWith(job)).count();
        }
    }

    /** The number of runs that have ended on all minions. */
    private static final AtomicInteger ENDS =
            new AtomicInteger();

    static int countEnds() {
        return ENDS.get();
    }

    private static final class Run {
        String task;
        long run;
        long began;
        long ms;
        boolean fails;

        /** The checkpoint, which changes with each half second of work; the task's name is in it. */
        String saved() {
            long half = (clock() - began) / 500;
            return half == 0 ? "" : String.format("%08x%08x", half, task.hashCode());
        }
    }

    Minion(Rig rig, int number, String control, long cpu) throws IOException {
        this.rig = rig;
        this.number = number;
        this.control = control;
        this.cpu = cpu;
        this.port = Rig.freePort();
        begin();
        Store.daemon(this::beat).start();
        Store.daemon(this::watch).start();
    }

    private static long clock() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized void begin() throws IOException {
        lives++;
        id = String.format("i-%08x", 0x7f3a91c2 + number * 7919 + lives * 104729);
        sequence = 0;
        highestFence = 0;
        holdUntil = 0;
        endNumber = 0;
        running.clear();
        ended.clear();
        over.clear();
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 0);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/v1/run-start", exchange -> handle(exchange, this::start));
        server.createContext("/v1/run-stop", exchange -> handle(exchange, this::stop));
        server.createContext("/v1/pace", exchange -> handle(exchange, this::pace));
        server.createContext("/v1/hold", exchange -> handle(exchange, this::hold));
        server.start();
        up = true;
        rig.log("minion " + id + ": up");
    }

    /** Crashes; says nothing, runs nothing, and is back as a new life after some time. */
    void crash(long forMillis) {
        synchronized (this) {
            up = false;
            rig.log("minion " + id + ": CRASH, with " + running.keySet());
            running.clear();
            server.stop(0);
        }
        Store.daemon(
                        () -> {
                            try {
                                Rig.sleep(forMillis);
                                begin();
                            } catch (IOException | InterruptedException failure) {
                                rig.log("minion " + number + " did not return: " + failure);
                            }
                        })
                .start();
    }

    synchronized boolean isUp() {
        return up;
    }

    /** Gets for how long a task has been at work here, in milliseconds; negative if it is not. */
    synchronized long atWorkMillis(String task) {
        Run run = running.get(task);
        return run == null ? -1 : clock() - run.began;
    }

    synchronized int countRunning(String job) {
        return (int) running.keySet().stream().filter(task -> task.startsWith(job)).count();
    }

    @Override
    public synchronized void close() {
        up = false;
        server.stop(0);
    }

    // ------------------------------------------------------------------ check-ins

    private void beat() {
        while (true) {
            try {
                String body = null;
                String path = null;
                synchronized (this) {
                    if (up) {
                        path = "/v1/instances/" + id;
                        body = description().toString();
                    }
                }
                if (body != null) {
                    http.send(
                            HttpRequest.newBuilder(URI.create("http://" + control + path))
                                    .timeout(Duration.ofSeconds(1))
                                    .header("Content-Type", "application/json")
                                    .PUT(HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding());
                }
            } catch (IOException notTaken) {
                // The next one comes.
            } catch (InterruptedException end) {
                return;
            }
            try {
                Rig.sleep(1100);
            } catch (InterruptedException end) {
                return;
            }
        }
    }

    private ObjectNode description() {
        ObjectNode body =
                Rig.JSON
                        .createObjectNode()
                        .put("service", Rig.SERVICE)
                        .put("address", "127.0.0.1:" + port)
                        .put("zone", "zone")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("clock_ms", clock())
                        .put("seq", ++sequence);
        body.putObject("capacity").put("cpu", cpu).put("mem_mb", 32_768).put("gpu", 0);
        body.putArray("labels").add("a").add("r1-" + (number / 3 + 1));
        return body;
    }

    // ------------------------------------------------------------------ runs

    /** Ends runs whose work is done or whose time is over. */
    private void watch() {
        while (true) {
            synchronized (this) {
                long now = clock();
                for (Run run : List.copyOf(running.values())) {
                    if (holdUntil > 0 && now > holdUntil) {
                        end(run, "lapsed");
                    } else if (run.ms > 0 && now - run.began >= run.ms) {
                        end(run, run.fails ? "failed" : "done");
                    }
                }
            }
            try {
                Rig.sleep(10);
            } catch (InterruptedException end) {
                return;
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        over.merge(run.task, run.run, Math::max);
        ended.add(new Object[] {++endNumber, run.task, run.run, how});
        if (ENDS.incrementAndGet() <= MOST_LOGGED) {
            rig.log("minion " + id + ": end of " + run.task + " run " + run.run + " " + how);
        }
        notifyAll();
    }

    private interface Handler {
        ObjectNode handle(JsonNode body, ObjectNode answer) throws IOException;
    }

    private void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            JsonNode body = Rig.read(exchange.getRequestBody().readAllBytes());
            String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            ObjectNode answer = Rig.JSON.createObjectNode();
            int status = 200;
            synchronized (this) {
                if (!up) {
                    return;
                }
                long fence = body.path("fencing_token").asLong();
                if (expected != null && !expected.equals(id)) {
                    status = 421;
                } else if (fence < highestFence) {
                    status = 409;
                    answer.put("reason", "fence");
                } else {
                    highestFence = fence;
                    holdUntil = Math.max(holdUntil, Math.min(until(body), clock() + MOST_HOLD_MILLIS));
                    handler.handle(body, answer);
                    status = answer.has("reason") ? 409 : 200;
                }
                answer.put("clock_ms", clock());
            }
            byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static long until(JsonNode body) {
        return body.path("until_ms").asLong(0);
    }

    private ObjectNode start(JsonNode body, ObjectNode answer) throws IOException {
        String task = body.path("task").asText();
        long number = body.path("run_id").asLong();
        Run present = running.get(task);
        if (present != null && present.run == number) {
            return answer;
        }
        if (over.getOrDefault(task, 0L) >= number || present != null && present.run > number) {
            return answer.put("reason", "old");
        }
        if (until(body) <= clock()) {
            return answer.put("reason", "late");
        }
        JsonNode spec = Rig.JSON.readTree(body.path("spec").asText());
        Run run = new Run();
        run.task = task;
        run.run = number;
        run.began = clock();
        run.ms = spec.path("ms").asLong();
        synchronized (STARTS) {
            int starts = STARTS.merge(task, 1, Integer::sum);
            run.fails = starts <= spec.path("fail").asInt();
            run.ms = starts > 1 && spec.has("then") ? spec.path("then").asLong() : run.ms;
        }
        running.put(task, run);
        if (STARTS_LOGGED.incrementAndGet() <= MOST_LOGGED) {
            rig.log("minion " + id + ": start of " + task + " run " + number);
        }
        return answer;
    }

    private ObjectNode stop(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        long number = body.path("run_id").asLong();
        Run run = running.get(task);
        if (run != null && run.run == number) {
            end(run, "stopped");
        } else {
            over.merge(task, number, Math::max);
        }
        return answer;
    }

    private ObjectNode pace(JsonNode body, ObjectNode answer) {
        return answer;
    }

    private ObjectNode hold(JsonNode body, ObjectNode answer) {
        long seen = body.path("last_seen").asLong();
        ended.removeIf(end -> (Long) end[0] <= seen);
        long end = clock() + body.path("wait_ms").asLong();
        String life = id;
        try {
            while (ended.isEmpty() && clock() < end && up && life.equals(id)) {
                wait(Math.max(1, end - clock()));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        ArrayNode runningRows = answer.putArray("running");
        for (Run run : running.values()) {
            long worked = clock() - run.began;
            long percent = run.ms > 0 ? Math.min(99, 100 * worked / run.ms) : worked > 400 ? 100 : 0;
            runningRows.addArray().add(run.task).add(run.run).add(run.saved()).add(percent).add(20);
        }
        ArrayNode endedRows = answer.putArray("ended");
        for (Object[] row : ended.subList(0, Math.min(500, ended.size()))) {
            endedRows
                    .addArray()
                    .add((Long) row[0])
                    .add((String) row[1])
                    .add((Long) row[2])
                    .add((String) row[3])
                    .add("");
        }
        return answer;
    }
}
