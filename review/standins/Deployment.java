import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as separate processes, started by the commands of the deploy file with
 * settings laid from its templates. The figures are those of a small deployment.
 */
final class Deployment implements AutoCloseable {

    private static final Map<String, String> BOUNDS =
            Map.of("bounds.max_hold_ms", "6000", "bounds.status_s", "120", "bounds.grace_s", "6");

    /** The delay after which the platform starts a process that has ended again, in milliseconds. */
    private static final long RESTART_DELAY_MILLIS = 1000;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** A machine with one process of the system. */
    final class Node {
        private final String name;
        private final List<String> command;
        private final String address;
        private Process process;
        private boolean signalled;
        private int ownEnds;

        private Node(String name, List<String> command, String address) {
            this.name = name;
            this.command = command;
            this.address = address;
        }

        String getName() {
            return name;
        }

        /** Returns the address that other processes of the system call. */
        String getAddress() {
            return address;
        }

        private synchronized void end() {
            signalled = true;
            if (process != null) {
                process.destroyForcibly();
            }
        }

        synchronized void start() throws IOException {
            if (closed) {
                return;
            }
            Path log = folder.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.directory(root.toFile());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            signalled = false;
            recorder.record("process " + name + " starts");
        }

        synchronized void signal(String signal) throws IOException, InterruptedException {
            recorder.record("process " + name + " gets SIG" + signal);
            signalled = true;
            if (signal.equals("KILL")) {
                process.destroyForcibly();
            } else if (signal.equals("TERM")) {
                process.destroy();
            } else {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            }
        }

        /** Returns how often its process has ended without a signal of the test. */
        synchronized int getOwnEnds() {
            return ownEnds;
        }

        /** Starts the process again if it has ended by itself. */
        private synchronized void restartIfEnded() throws IOException, InterruptedException {
            if (process == null || signalled || process.isAlive()) {
                return;
            }
            ownEnds++;
            recorder.record(
                    "process " + name + " has ended by itself with " + process.exitValue());
            wait(RESTART_DELAY_MILLIS);
            start();
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
            if (ended) {
                recorder.record("process " + name + " has ended with " + process.exitValue());
            }
            return ended;
        }
    }

    private final Path root = Path.of("").toAbsolutePath();

    private final Path folder;

    private final Recorder recorder;

    private final List<Node> nodes = new ArrayList<>();

    private volatile boolean closed;

    Deployment(Path folder, Recorder recorder) {
        this.folder = folder;
        this.recorder = recorder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts processes that end by themselves again, as the platform does. */
    void restartEndedProcesses() {
        for (Node node : nodes) {
            Thread platform =
                    new Thread(
                            () -> {
                                try {
                                    while (!closed) {
                                        node.restartIfEnded();
                                        Thread.sleep(CHECK_INTERVAL_MILLIS);
                                    }
                                } catch (IOException | InterruptedException failure) {
                                    recorder.record("the platform has failed: " + failure);
                                }
                            });
            platform.setDaemon(true);
            platform.start();
        }
    }

    Node newAgent(String name, String store, String control) throws IOException {
        String listen = "127.0.0.1:" + StandInServer.findFreePort();
        return newNode("agent", name, listen, Map.of("bind_addresses.control", control), store);
    }

    Node newEntry(String name, String store, String front, String ready) throws IOException {
        String listen = "127.0.0.1:" + StandInServer.findFreePort();
        Map<String, String> addresses =
                Map.of("bind_addresses.front", front, "bind_addresses.ready", ready);
        return newNode("entry", name, listen, addresses, store);
    }

    private Node newNode(
            String role, String name, String listen, Map<String, String> addresses, String store)
            throws IOException {
        String settings = Files.readString(root.resolve("deploy/" + role + ".json"));
        settings = settings.replace("{{ip}}:{{port_range.0}}", listen);
        settings =
                settings.replace(
                        "{{ip}}:{{port_range.1}}", "127.0.0.1:" + StandInServer.findFreePort());
        settings = fill(settings, Map.of("node_name", name, "zone", "zone-a"));
        settings = fill(settings, Map.of("platform.address", store));
        settings = fill(fill(settings, addresses), BOUNDS);
        if (settings.contains("{{")) {
            throw new IllegalStateException("a gap of the settings is not filled: " + settings);
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        List<String> command =
                List.of(
                        readRunLine(role)
                                .replace("/etc/standlink/boot.conf", file.toString())
                                .split(" "));
        Node node = new Node(name, command, listen);
        nodes.add(node);
        return node;
    }

    private static String fill(String text, Map<String, String> values) {
        String filled = text;
        for (Map.Entry<String, String> value : values.entrySet()) {
            filled = filled.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return filled;
    }

    private String readRunLine(String role) throws IOException {
        String file = Files.readString(root.resolve("deploy/system.toml"), StandardCharsets.UTF_8);
        Matcher matcher =
                Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(file);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no role " + role);
        }
        return matcher.group(1);
    }

    /** Ends all processes and waits for that. */
    @Override
    public void close() {
        closed = true;
        for (Node node : nodes) {
            node.end();
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
