import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's programs as separate processes with the
 * commands and templates of the deploy file, the store, the minions and the operator as stand-ins.
 */
final class Bed implements AutoCloseable {

    static final String SERVICE = "service-a";
    static final String HOST = "jobs.example";

    final Record record;
    final Path root;
    final Path folder;
    final StoreStandIn store;
    final String entry;
    final String ready;
    final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> agents = new ArrayList<>();
    private final Map<String, List<String>> commands = new HashMap<>();
    private final String storeAddress;
    private final String deployFile;

    Bed(Path root, Path recordFile, int count, long capacityCpu, WorkerStandIn.Observer observer,
            long seed) throws IOException {
        this.root = root;
        record = new Record(recordFile);
        // Also when this process is told to stop, nothing that it started stays behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        folder = Files.createTempDirectory("standlink-review");
        deployFile = Files.readString(root.resolve("deploy/system.toml"));
        int storePort = Http.freePort();
        storeAddress = "127.0.0.1:" + storePort;
        store = new StoreStandIn(storePort);
        store.put("keyed.op", "config", manifest());
        entry = "127.0.0.1:" + Http.freePort();
        ready = "127.0.0.1:" + Http.freePort();
        Map<String, String> fields = new HashMap<>();
        fields.put("bind_addresses.front", entry);
        fields.put("bind_addresses.ready", ready);
        launch("entry", "edge-1", fields);
        for (int i = 0; i < count; i++) {
            addMachine(capacityCpu, observer, seed + i);
        }
    }

    /** Adds a machine with an agent and a minion, at addresses of its own. */
    void addMachine(long capacityCpu, WorkerStandIn.Observer observer, long seed)
            throws IOException {
        int i = workers.size();
        String control = "127.0.0.1:" + Http.freePort();
        Map<String, String> fields = new HashMap<>();
        fields.put("bind_addresses.control", control);
        agents.add(launch("agent", "side-" + (i + 1), fields));
        WorkerStandIn worker =
                new WorkerStandIn(
                        "minion-" + (i + 1), Http.freePort(), control, SERVICE,
                        "r1-" + (1 + i / 3), capacityCpu, record, observer, seed);
        workers.add(worker);
        worker.start();
    }

    /** Stops the agent of a machine in order and starts it again, as planned work does. */
    void restartAgent(int number) throws IOException, InterruptedException {
        signal("TERM", number);
        agents.get(number).waitFor();
        record.line("the agent of side-" + (number + 1) + " has ended");
        agents.set(number, start("side-" + (number + 1)));
    }

    private static String manifest() {
        StringBuilder routes = new StringBuilder();
        String[] names = {"quick", "batch", "lasting"};
        int[] attempts = {3, 3, 4};
        for (int i = 0; i < names.length; i++) {
            routes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-" + names[i] + "\",\"host\":\"" + HOST + "\",")
                    .append("\"path_prefix\":\"/" + names[i] + "/\",\"type\":\"unsafe\",")
                    .append("\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":0,")
                    .append("\"service\":\"" + SERVICE + "\",\"max_attempts\":" + attempts[i])
                    .append(",\"stretch\":2.2}");
        }
        return "{\"version\":3,\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
                + "\"tls\":false,\"enforces_capacity\":true,\"headroom\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** Starts a role with the command of the deploy file and settings laid from its template. */
    private Process launch(String role, String node, Map<String, String> own) throws IOException {
        Map<String, String> fields = new HashMap<>(own);
        fields.put("node_name", node);
        fields.put("zone", "zone-a");
        fields.put("ip", "127.0.0.1");
        fields.put("port_range.0", Integer.toString(Http.freePort()));
        fields.put("port_range.1", Integer.toString(Http.freePort()));
        fields.put("platform.address", storeAddress);
        fields.put("bounds.grace_s", "6");
        fields.put("bounds.max_hold_ms", "6000");
        fields.put("bounds.status_s", "120");
        Matcher gaps =
                Pattern.compile("\\{\\{([^}]*)\\}\\}")
                        .matcher(Files.readString(root.resolve("deploy/" + role + ".json")));
        StringBuilder text = new StringBuilder();
        while (gaps.find()) {
            String value = fields.get(gaps.group(1));
            if (value == null) {
                throw new IOException("no value for " + gaps.group(1));
            }
            gaps.appendReplacement(text, Matcher.quoteReplacement(value));
        }
        gaps.appendTail(text);
        Path settings = folder.resolve(node + ".json");
        Files.writeString(settings, text);
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"")
                        .matcher(deployFile);
        if (!run.find()) {
            throw new IOException("no command for " + role);
        }
        List<String> command =
                new ArrayList<>(
                        Arrays.asList(
                                run.group(1)
                                        .replace("/etc/standlink/boot.conf", settings.toString())
                                        .split(" ")));
        commands.put(node, command);
        return start(node);
    }

    private Process start(String node) throws IOException {
        File log = folder.resolve(node + ".log").toFile();
        Process process =
                new ProcessBuilder(commands.get(node))
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        synchronized (processes) {
            processes.add(process);
        }
        record.line("start " + node);
        return process;
    }

    /** Waits until the entry is ready and a first job has been carried out. */
    boolean awaitService(long timeoutMillis) throws InterruptedException {
        long end = record.now() + timeoutMillis;
        while (record.now() < end) {
            if (Http.call("GET", ready, "/v1/ready", ready, null, 1000).status() == 200) {
                String id = "00000000000000ff";
                submit("quick", id, 1, 1, false, 200, 100);
                for (int i = 0; i < 20; i++) {
                    Thread.sleep(200);
                    if (state("quick", id).equals("completed")) {
                        return true;
                    }
                }
            }
            Thread.sleep(200);
        }
        return false;
    }

    Http.Answer submit(
            String queue, String id, int count, int perWorker, boolean lasts, long workMillis,
            long cpu) {
        return submit(queue, id, count, perWorker, lasts, workMillis, cpu, 0);
    }

    /** Submits a job; its spec is lengthened by some letters. */
    Http.Answer submit(
            String queue, String id, int count, int perWorker, boolean lasts, long workMillis,
            long cpu, int padding) {
        long memory = padding > 0 ? 5 : 200;
        String spec =
                "{\\\"pad\\\":\\\"" + "x".repeat(padding) + "\\\",\\\"lasts\\\":" + lasts + ",\\\"work_ms\\\":" + workMillis + ",\\\"cpu\\\":" + cpu
                        + ",\\\"mem_mb\\\":" + memory + "}";
        String body =
                "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
                        + ",\"mem_mb\":" + memory + ",\"estimated_ms\":" + workMillis
                        + (perWorker > 0 ? ",\"anti_affinity\":" + perWorker : "")
                        + (lasts ? ",\"perpetual\":true" : "") + "}]}";
        Http.Answer answer =
                Http.call("POST", entry, "/" + queue + "/" + id, HOST, body, 3000);
        record.line(
                "POST /" + queue + "/" + id + " " + body.replaceAll("x{20,}", "x...") + " -> "
                        + answer.status());
        return answer;
    }

    String state(String queue, String id) {
        Http.Answer answer = Http.call("GET", entry, "/" + queue + "/" + id, HOST, null, 3000);
        String state = answer.status() == 200 ? answer.json().path("state").asText() : "";
        record.line("GET /" + queue + "/" + id + " -> " + answer.status() + " " + state);
        return state;
    }

    /** Finds the number of a machine whose agent does not lead, by its log; negative if none. */
    int findFollower() throws IOException {
        for (int i = 0; i < workers.size(); i++) {
            String log = Files.readString(folder.resolve("side-" + (i + 1) + ".log"));
            if (!log.contains("leading")) {
                return i;
            }
        }
        return -1;
    }

    /** Finds the number of the machine whose agent leads, by its log; negative if none. */
    int findLeader() throws IOException {
        for (int i = 0; i < workers.size(); i++) {
            if (Files.readString(folder.resolve("side-" + (i + 1) + ".log")).contains("leading")) {
                return i;
            }
        }
        return -1;
    }

    /** Loses a machine for good: its minion is gone, and its agent says nothing any more. */
    void loseMachine(int number) throws IOException, InterruptedException {
        record.line("side-" + (number + 1) + " is lost with its agent and its minion");
        signal("STOP", number);
        workers.get(number).crash();
    }

    /** Sends a signal to the agent of a machine. */
    void signal(String name, int number) throws IOException, InterruptedException {
        record.line("SIG" + name + " to the agent of side-" + (number + 1));
        Process process = agents.get(number);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Whether the agent of a machine runs. */
    boolean isAgentAlive(int number) {
        return agents.get(number).isAlive();
    }

    /** Whether all programs run. */
    boolean allRunning() {
        return processes.stream().allMatch(Process::isAlive);
    }

    @Override
    public void close() {
        List<Process> started;
        synchronized (processes) {
            started = List.copyOf(processes);
        }
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            File[] files = folder.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                file.delete();
            }
            folder.toFile().delete();
        }
    }
}
