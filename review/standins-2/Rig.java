import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs a small deployment on loopback addresses: the programs of the deploy file as separate
 * processes, with a store, minions and clients that follow the users' pages.
 */
final class Rig implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();

    /** The name of the service of all minions. */
    static final String SERVICE = "registar";

    static final String HOST = "jobs.example";

    /** The exit code of a process that cannot listen on its port. */
    private static final int CANNOT_LISTEN = 5;

    private static final Random RANDOM = new Random();

    private static final Set<Integer> PORTS = new HashSet<>();

    final Store store;
    final List<Minion> minions = new ArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private volatile boolean closing;

    /** The present process of each name. */
    private final Map<String, Process> running = new ConcurrentHashMap<>();

    /** The processes whose machine is lost for good. */
    private final Set<String> lost = ConcurrentHashMap.newKeySet();

    /** The processes that this test has killed. */
    private final Set<String> killed = ConcurrentHashMap.newKeySet();

    /** The processes that ended by themselves, by name; each is started again. */
    final List<String> ends = new CopyOnWriteArrayList<>();
    private final Path temporary;
    private final PrintWriter record;
    private final long begin = System.nanoTime();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private String front;
    private String ready;

    /** A client's answer; status 0 without one. */
    record Answer(int status, String body) {
        String state() {
            try {
                return JSON.readTree(body).path("state").asText("");
            } catch (IOException notJson) {
                return "";
            }
        }
    }

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        temporary = Files.createTempDirectory("standlink-review");
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    long millis() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    synchronized void log(String text) {
        String line = String.format("%8.3f  %s", millis() / 1000.0, text);
        record.println(line);
        System.out.println(line);
    }

    /** Finds a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 11_000 + RANDOM.nextInt(20_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (PORTS.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (BindException taken) {
                // The next one may be free.
            }
        }
        throw new IOException("no free port");
    }

    static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    // ------------------------------------------------------------------ processes

    /** Starts minions with one agent each, and an entry; waits until a client can be served. */
    void start(int count, long cpu, String manifest) throws Exception {
        store.publish("config", manifest);
        log("operator: wrote manifest " + manifest);
        for (int i = 0; i < count; i++) {
            startAgent(i, cpu);
        }
        startEntry();
        long end = millis() + 30_000;
        while (get("http://" + ready + "/v1/ready").status() != 200) {
            if (millis() > end) {
                throw new IOException("the entry is not ready");
            }
            sleep(100);
        }
    }

    private void startAgent(int number, long cpu) throws Exception {
        String control = "127.0.0.1:" + freePort();
        Path settings = temporary.resolve("agent-" + number + ".json");
        fill(
                "deploy/agent.json",
                settings,
                Map.of(
                        "node_name", "side-" + number,
                        "zone", "zone",
                        "ip", "127.0.0.1",
                        "port_range.0", "" + freePort(),
                        "port_range.1", "" + freePort(),
                        "platform.address", "127.0.0.1:" + store.port(),
                        "bind_addresses.control", control,
                        "bounds.max_hold_ms", "6000",
                        "bounds.status_s", "120",
                        "bounds.grace_s", "6"));
        run("agent", settings, "agent-" + number);
        minions.add(new Minion(this, number, control, cpu));
    }

    private void startEntry() throws Exception {
        front = "127.0.0.1:" + freePort();
        ready = "127.0.0.1:" + freePort();
        Path settings = temporary.resolve("entry.json");
        fill(
                "deploy/entry.json",
                settings,
                Map.of(
                        "node_name", "edge-1",
                        "zone", "zone",
                        "ip", "127.0.0.1",
                        "port_range.1", "" + freePort(),
                        "platform.address", "127.0.0.1:" + store.port(),
                        "bind_addresses.front", front,
                        "bind_addresses.ready", ready,
                        "bounds.grace_s", "6"));
        run("entry", settings, "entry");
    }

    private static void fill(String template, Path to, Map<String, String> values)
            throws IOException {
        String text = Files.readString(Path.of(template));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException(template + " has a gap that is not filled: " + text);
        }
        Files.writeString(to, text);
    }

    /** Runs the command of a role of the deploy file with other settings. */
    private void run(String role, Path settings, String name) throws IOException {
        Matcher line =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        String command = line.group(1).replace("/etc/standlink/boot.conf", settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command.split(" +"));
        builder.environment()
                .keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        File output = temporary.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        launch(builder, name);
    }

    /** Starts a process, and again a second after it has ended by itself, as the platform does. */
    private synchronized void launch(ProcessBuilder builder, String name) throws IOException {
        if (closing) {
            return;
        }
        Process process = builder.start();
        processes.add(process);
        running.put(name, process);
        log("started " + name + ", process " + process.pid());
        process.onExit()
                .thenAccept(
                        ended -> {
                            if (closing || lost.contains(name)) {
                                return;
                            }
                            if (!killed.remove(name)) {
                                ends.add(name);
                                log(name + " ENDED BY ITSELF with code " + ended.exitValue());
                            }
                            if (ended.exitValue() == CANNOT_LISTEN) {
                                log("the case cannot run: a port was taken");
                                closeQuietly();
                                Runtime.getRuntime().halt(2);
                            }
                            try {
                                sleep(1000);
                                launch(builder, name);
                            } catch (IOException | InterruptedException failure) {
                                log(name + " was not started again: " + failure);
                            }
                        });
    }

    /** Kills the agent that leads; the platform starts it again. */
    void killLeader() throws IOException {
        String leader = findLeader();
        log("KILLED " + leader + ", the leader");
        killed.add(leader);
        running.get(leader).destroyForcibly();
    }

    /** Loses all machines with agents for good, but for the one that leads. */
    void loseAllButLeader() throws IOException {
        String leader = findLeader();
        for (int i = 0; i < minions.size(); i++) {
            String name = "agent-" + i;
            if (!name.equals(leader)) {
                log("LOST the machine of " + name + " for good; " + leader + " leads");
                lost.add(name);
                running.get(name).destroyForcibly();
                minions.get(i).close();
            }
        }
    }

    /** Finds the agent that leads, as the output tells. */
    private String findLeader() throws IOException {
        String leader = "";
        long newest = -1;
        try (Stream<Path> files = Files.list(temporary)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
                for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                    if (line.contains("\"event\":\"leading\"")) {
                        long epoch = JSON.readTree(line).path("epoch").asLong();
                        if (epoch > newest) {
                            newest = epoch;
                            leader = file.getFileName().toString().replace(".log", "");
                        }
                    }
                }
            }
        }
        return leader;
    }

    /** Logs the lines of the processes' output that contain one of the words. */
    void logOutput(int most, String... words) throws IOException {
        try (Stream<Path> files = Files.list(temporary)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
                int count = 0;
                for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                    if (Stream.of(words).anyMatch(line::contains) && count++ < most) {
                        log("output of " + file.getFileName() + ": " + line);
                    }
                }
            }
        }
    }

    private void killAll() {
        synchronized (this) {
            closing = true;
        }
        processes.forEach(Process::destroyForcibly);
    }

    private void closeQuietly() {
        try {
            close();
        } catch (Exception failure) {
            failure.printStackTrace();
        }
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Process process : processes) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        for (Minion minion : minions) {
            minion.close();
        }
        store.close();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        }
    }

    // ------------------------------------------------------------------ clients

    Answer call(String method, String path, String body) {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + front + path))
                        .header("X-Deadline-Ms", "3000")
                        .header("Content-Type", "application/json")
                        .timeout(Duration.ofMillis(3500))
                        .method(method, publisher);
        Answer answer = send(request.header("Host", HOST).build());
        log("client: " + method + " " + path + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    /** Submits a job until it is accepted, as clients do after a 503 or a 504. */
    boolean submit(String path, String body, int tries) throws InterruptedException {
        for (int i = 0; i < tries; i++) {
            int status = call("POST", path, body).status();
            if (status >= 200 && status < 300) {
                return true;
            }
            sleep(1000);
        }
        return false;
    }

    private Answer get(String url) {
        return send(
                HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofMillis(1000)).build());
    }

    private Answer send(HttpRequest request) {
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException failure) {
            return new Answer(0, failure.toString());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Answer(0, interrupted.toString());
        }
    }

    // ------------------------------------------------------------------ the manifest

    static ObjectNode route(String name, String prefix, int maxAttempts) {
        return JSON.createObjectNode()
                .put("name", name)
                .put("host", HOST)
                .put("path_prefix", prefix)
                .put("service", SERVICE)
                .put("priority", 0)
                .put("max_attempts", maxAttempts)
                .put("stretch", 2.0)
                .put("target_latency_ms", 2500);
    }

    static String manifest(int version, ObjectNode... routes) {
        ObjectNode manifest = JSON.createObjectNode().put("version", version);
        manifest.putArray("routes").addAll(List.of(routes));
        manifest.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("enforces_capacity", true);
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        return manifest.toString();
    }

    static JsonNode read(byte[] body) throws IOException {
        return JSON.readTree(body);
    }
}
