import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A minion by the users' protocol, with capacity, fence, hold time, ends and lifetimes. What a task
 * needs is in the spec of its job: {@code lasts}, {@code work_ms}, {@code cpu} and {@code mem_mb}.
 */
final class WorkerStandIn {

    static final long HEARTBEAT_MILLIS = 1100;
    static final long STOP_MILLIS = 200;
    static final long MAX_HOLD_MILLIS = 6000;
    static final long LEAVE_MILLIS = 10_000;

    /** Learns what the minions do. */
    interface Observer {
        void started(WorkerStandIn worker, String task, long run);

        void ended(WorkerStandIn worker, String task, long run, String how);

        void heartbeatAnswered(WorkerStandIn worker, String state, int status);
    }

    private static final class Run {
        String task;
        long number;
        long begun;
        boolean lasts;
        long workMillis;
        long cpu;
        long memory;
        long stopAt = -1;
    }

    private record End(long number, String task, long run, String how) {}

    final String name;
    final int port;
    private final String control;
    private final String service;
    private final String rack;
    private final long capacityCpu;
    private final Record record;
    private final Observer observer;
    private final Random random;

    private HttpServer server;
    private String id = "";
    private boolean up;
    private String state = "ready";
    private long sequence;
    private long drainingSince;
    private long endNumber;
    private long fence;
    private long until;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<End> ended = new ArrayList<>();

    /** Decides whether an order gets no answer, and after how long it is carried out then. */
    volatile java.util.function.Supplier<Long> lateness = () -> -1L;

    WorkerStandIn(
            String name,
            int port,
            String control,
            String service,
            String rack,
            long capacityCpu,
            Record record,
            Observer observer,
            long seed) {
        this.name = name;
        this.port = port;
        this.control = control;
        this.service = service;
        this.rack = rack;
        this.capacityCpu = capacityCpu;
        this.record = record;
        this.observer = observer;
        this.random = new Random(seed);
        daemon(this::beat);
        daemon(this::tick);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** The minion's steady clock. */
    private static long clock() {
        return System.nanoTime() / 1_000_000;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins a new lifetime: another id, nothing runs, no epoch number seen. */
    synchronized void start() throws IOException {
        id = String.format("i-%08x", random.nextInt());
        sequence = 0;
        endNumber = 0;
        fence = 0;
        until = 0;
        state = "ready";
        runs.clear();
        highest.clear();
        ended.clear();
        server = Http.newServer(port);
        server.createContext("/v1/", this::handle);
        server.start();
        up = true;
        record.line(name + " begins a lifetime as " + id);
        notifyAll();
    }

    /** Crashes: all that runs dies, nothing is said. */
    void crash() {
        HttpServer stopped;
        synchronized (this) {
            up = false;
            record.line(name + " crashes with " + runs.keySet());
            runs.clear();
            ended.clear();
            stopped = server;
            notifyAll();
        }
        stopped.stop(0);
    }

    /** Announces that it leaves, and leaves ten seconds later. */
    synchronized void drain() {
        state = "draining";
        drainingSince = clock();
        daemon(
                () -> {
                    sleep(LEAVE_MILLIS);
                    String left = id;
                    crash();
                    Http.call("DELETE", control, "/v1/instances/" + left, control, null, 1000);
                });
        record.line(name + " is draining from now on");
        notifyAll();
    }

    synchronized int countRuns() {
        return runs.size();
    }

    synchronized boolean isUp() {
        return up;
    }

    // -----------------------------------------------------------------------
    private void beat() {
        while (true) {
            String path;
            String body;
            String sentState;
            synchronized (this) {
                while (!up) {
                    try {
                        wait();
                    } catch (InterruptedException stopped) {
                        return;
                    }
                }
                ObjectNode fields =
                        Http.MAPPER
                                .createObjectNode()
                                .put("service", service)
                                .put("address", "127.0.0.1:" + port)
                                .put("zone", "zone-a")
                                .put("version", "v1")
                                .put("slots", 8)
                                .put("state", state)
                                .put("cold_remaining_ms", 0)
                                .put("clock_ms", clock())
                                .put("seq", ++sequence);
                fields.putObject("capacity")
                        .put("cpu", capacityCpu)
                        .put("mem_mb", 64000)
                        .put("gpu", 0);
                fields.putArray("labels").add("a").add(rack);
                if (state.equals("draining")) {
                    fields.put(
                            "remaining_ms", Math.max(0, LEAVE_MILLIS + drainingSince - clock()));
                }
                path = "/v1/instances/" + id;
                body = fields.toString();
                sentState = state;
            }
            Http.Answer answer = Http.call("PUT", control, path, control, body, 1000);
            observer.heartbeatAnswered(this, sentState, answer.status());
            synchronized (this) {
                if (answer.status() < 0) {
                    sleepLocked(200);
                } else if (state.equals(sentState)) {
                    sleepLocked(HEARTBEAT_MILLIS);
                }
            }
        }
    }

    private void sleepLocked(long millis) {
        long end = clock() + millis;
        String before = state + id + up;
        while (clock() < end && before.equals(state + id + up)) {
            try {
                wait(Math.max(1, end - clock()));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void tick() {
        while (true) {
            sleep(10);
            synchronized (this) {
                long now = clock();
                if (up && !runs.isEmpty() && now > until) {
                    for (Run run : List.copyOf(runs.values())) {
                        end(run, "lapsed");
                    }
                }
                for (Run run : List.copyOf(runs.values())) {
                    if (run.stopAt >= 0 && now >= run.stopAt) {
                        end(run, "stopped");
                    } else if (!run.lasts && now - run.begun >= run.workMillis) {
                        end(run, "done");
                    }
                }
            }
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task);
        ended.add(new End(++endNumber, run.task, run.number, how));
        highest.merge(run.task, run.number, Math::max);
        record.line(name + " ended " + run.task + " run " + run.number + ": " + how);
        observer.ended(this, run.task, run.number, how);
        notifyAll();
    }

    // -----------------------------------------------------------------------
    private volatile long lastCall = clock();

    /** Gets how long ago the last call came, in milliseconds. */
    long millisSinceCall() {
        return clock() - lastCall;
    }

    private void handle(HttpExchange exchange) throws IOException {
        lastCall = clock();
        JsonNode body = Http.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        boolean order = path.equals("/v1/run-start") || path.equals("/v1/run-stop");
        long late = order ? lateness.get() : -1;
        if (late >= 0) {
            String described = path + " " + body.path("task").asText() + " run "
                    + body.path("run_id").asLong();
            record.line(name + " leaves unanswered " + described);
            daemon(
                    () -> {
                        sleep(late);
                        ObjectNode ignored = Http.MAPPER.createObjectNode();
                        int status = carryOut(path, expected, body, ignored, true);
                        record.line(name + " carries out late " + described + ": " + status);
                    });
            // No answer ever comes; the caller gives the call up.
            return;
        }
        ObjectNode answer = Http.MAPPER.createObjectNode();
        int status = carryOut(path, expected, body, answer, false);
        Http.answerJson(exchange, status, answer);
    }

    private synchronized int carryOut(
            String path, String expected, JsonNode body, ObjectNode answer, boolean late) {
        if (!up || expected != null && !expected.equals(id)) {
            return 421;
        }
        long token = body.path("fencing_token").asLong();
        answer.put("clock_ms", clock());
        if (token < fence) {
            answer.put("reason", "fence");
            return 409;
        }
        fence = token;
        return switch (path) {
            case "/v1/run-start" -> startRun(body, answer, late);
            case "/v1/run-stop" -> stopRun(body);
            case "/v1/hold" -> hold(body, answer);
            default -> 200;
        };
    }

    private void extend(JsonNode body) {
        if (body.has("until_ms")) {
            long asked = Math.min(body.path("until_ms").asLong(), clock() + MAX_HOLD_MILLIS);
            until = Math.max(until, asked);
        }
    }

    private int startRun(JsonNode body, ObjectNode answer, boolean late) {
        String task = body.path("task").asText();
        long number = body.path("run_id").asLong();
        Run present = runs.get(task);
        if (present != null && present.number == number) {
            extend(body);
            return 200;
        }
        if (body.path("until_ms").asLong() <= clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(body);
        if (present != null && number < present.number
                || number <= highest.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        JsonNode spec;
        try {
            spec = Http.MAPPER.readTree(body.path("spec").asText());
        } catch (IOException malformed) {
            return 400;
        }
        long cpu = spec.path("cpu").asLong();
        long memory = spec.path("mem_mb").asLong();
        long usedCpu = runs.values().stream().mapToLong(run -> run.cpu).sum();
        long usedMemory = runs.values().stream().mapToLong(run -> run.memory).sum();
        if (present != null || usedCpu + cpu > capacityCpu || usedMemory + memory > 64000) {
            answer.put("reason", "room");
            return 409;
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.begun = clock();
        run.lasts = spec.path("lasts").asBoolean();
        run.workMillis = spec.path("work_ms").asLong();
        run.cpu = cpu;
        run.memory = memory;
        runs.put(task, run);
        record.line(
                name + " starts " + task + " run " + number + (late ? " (carried out late)" : ""));
        if (!late) {
            observer.started(this, task, number);
        }
        return 200;
    }

    private int stopRun(JsonNode body) {
        String task = body.path("task").asText();
        long number = body.path("run_id").asLong();
        highest.merge(task, number, Math::max);
        Run run = runs.get(task);
        if (run != null && run.number == number && run.stopAt < 0) {
            run.stopAt = clock() + STOP_MILLIS;
        }
        return 200;
    }

    private int hold(JsonNode body, ObjectNode answer) {
        extend(body);
        long lastSeen = body.path("last_seen").asLong();
        ended.removeIf(end -> end.number() <= lastSeen);
        long waitUntil = clock() + Math.min(2000, body.path("wait_ms").asLong());
        String life = id;
        while (ended.isEmpty() && clock() < waitUntil && up && life.equals(id)) {
            try {
                wait(Math.max(1, waitUntil - clock()));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        if (!up || !life.equals(id)) {
            return 421;
        }
        long now = clock();
        answer.put("clock_ms", now);
        ArrayNode running = answer.putArray("running");
        for (Run run : runs.values()) {
            long percent = Math.min(100, 100 * (now - run.begun) / Math.max(1, run.workMillis));
            ArrayNode row = running.addArray();
            row.add(run.task).add(run.number).add("").add(percent).add(run.lasts ? 20 : run.cpu);
        }
        ArrayNode ends = answer.putArray("ended");
        for (End end : ended.subList(0, Math.min(500, ended.size()))) {
            ends.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
        }
        return 200;
    }
}
