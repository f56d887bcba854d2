import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.standlink.election.Claim;
import org.standlink.store.KeyedRecord;

/** A small deployment with its stand-ins: a store, minions, the agents beside them, and an entry. */
final class Setup implements AutoCloseable {

    /** The case ran and the rule held. */
    static final int HELD = 0;

    /** The case ran and the rule was broken. */
    static final int BROKEN = 1;

    /** The case couldn't run. */
    static final int NOT_RUN = 2;

    private static final long START_TIMEOUT_MILLIS = 20_000;

    /** The rate of an agent's link, and of an entry's where a case names no other. */
    static final long LINK_MEGABITS = 1000;

    /** What a case does; it returns one of the codes above. */
    interface Case {
        int run(Setup setup) throws Exception;
    }

    final Recorder recorder;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Store store = new Store();

    final Deployment deployment;

    /** The path to the store of each agent, in the order of the agents. */
    final List<Proxy> paths = new ArrayList<>();

    final List<Deployment.Node> agents = new ArrayList<>();

    final List<Minion> minions = new ArrayList<>();

    final Deployment.Node entry;

    final Caller caller;

    private final Path folder = Files.createTempDirectory("standlink-review");

    private final String ready = "127.0.0.1:" + StandInServer.findFreePort();

    private Setup(
            Path caseFolder, int machines, long entryMegabits, Minion.RunListener listener)
            throws IOException {
        recorder = new Recorder(caseFolder.resolve("record.txt"));
        recorder.record("trouble " + (trouble ? "on" : "off"));
        deployment = new Deployment(folder, recorder);
        store.open();
        for (int i = 1; i <= machines; i++) {
            String control = "127.0.0.1:" + StandInServer.findFreePort();
            Proxy path = new Proxy(store.getAddress(), LINK_MEGABITS);
            paths.add(path);
            agents.add(deployment.newAgent("agent-" + i, path.getAddress(), control));
            minions.add(new Minion("minion-" + i, control, recorder, listener));
        }
        String front = "127.0.0.1:" + StandInServer.findFreePort();
        Proxy entryPath = new Proxy(store.getAddress(), entryMegabits);
        entry = deployment.newEntry("entry-1", entryPath.getAddress(), front, ready);
        caller = new Caller(front, recorder);
        entry.start();
    }

    /** Runs a case and ends with its code. */
    static void main(String[] arguments, int machines, Minion.RunListener listener, Case work) {
        main(arguments, machines, LINK_MEGABITS, listener, work);
    }

    /** Runs a case with an entry whose link has another rate, and ends with its code. */
    static void main(
            String[] arguments,
            int machines,
            long entryMegabits,
            Minion.RunListener listener,
            Case work) {
        int code = NOT_RUN;
        try (Setup setup = new Setup(Path.of(arguments[0]), machines, entryMegabits, listener)) {
            setup.begin();
            code = work.run(setup);
            setup.recorder.record("exit code " + code);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.out.println(
                code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "not run");
        System.exit(code);
    }

    private void begin() throws Exception {
        publishManifest(manifest(1, true));
        for (Deployment.Node agent : agents) {
            agent.start();
        }
        for (Minion minion : minions) {
            minion.begin();
        }
        long deadline = recorder.nowMillis() + START_TIMEOUT_MILLIS;
        while (!isReady() || newestClaim() == null || !newestClaim().isHeld()) {
            if (recorder.nowMillis() > deadline) {
                throw new IllegalStateException("the deployment has not become ready");
            }
            Thread.sleep(100);
        }
        recorder.record("ready");
        Thread.sleep(2000);
    }

    private boolean isReady() throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + ready + "/v1/ready"))
                        .timeout(Duration.ofSeconds(1))
                        .build();
        try {
            return HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Returns a manifest with a queue for all that callers send, or without any queue. */
    static String manifest(long version, boolean withQueue) {
        return manifest(version, withQueue, 0);
    }

    /** Returns a manifest that also has queues that nobody uses. */
    static String manifest(long version, boolean withQueue, int idleQueues) {
        StringBuilder idle = new StringBuilder();
        for (int number = 0; number < idleQueues; number++) {
            String format =
                    "%s{\"name\":\"r-%07d\",\"host\":\"idle%02d.example\",\"path_prefix\":\"/p%06d/\","
                            + "\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":2500,"
                            + "\"priority\":0,\"service\":\"work\",\"max_attempts\":4,\"stretch\":2.2}";
            String separator = number > 0 || withQueue ? "," : "";
            idle.append(String.format(format, separator, number, number % 100, number));
        }
        String route =
                "{\"name\":\"queue\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q/\","
                        + "\"service\":\"work\",\"priority\":0,\"max_attempts\":3,"
                        + "\"target_latency_ms\":1000,\"stretch\":2.0}";
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + (withQueue ? route : "")
                + idle
                + "],\"services\":[{\"name\":\"work\",\"enforces_capacity\":false}],"
                + "\"limits\":{\"max_body_bytes\":262144}}";
    }

    void publishManifest(String manifest) {
        store.publishManifest(manifest);
        recorder.record(
                "operator writes manifest, "
                        + manifest.length()
                        + " bytes: "
                        + manifest.substring(0, Math.min(300, manifest.length())));
    }

    // -----------------------------------------------------------------------
    private volatile Claim claim;

    /** Keeps the newest claim to lead; a case that has its own listener calls this. */
    Claim observeClaims(String topic, List<Store.Entry> records) {
        if (!topic.equals("keyed.claims")) {
            return null;
        }
        for (Store.Entry record : records) {
            claim = Claim.of(new KeyedRecord(record.key(), record.value()));
            recorder.record("store: claim, epoch " + claim.epoch() + ", address " + claim.address());
        }
        return claim;
    }

    {
        store.setListener((topic, query, records) -> observeClaims(topic, records));
    }

    Claim newestClaim() {
        return claim;
    }

    /** Returns the number of the agent that leads by the newest claim, from 0. */
    int findLeader() {
        for (int i = 0; i < agents.size(); i++) {
            if (agents.get(i).getAddress().equals(claim.address())) {
                return i;
            }
        }
        throw new IllegalStateException("no agent has the address " + claim.address());
    }

    @Override
    public void close() throws IOException {
        deployment.close();
        recorder.close();
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept != null && file.toString().endsWith(".log")) {
                    Files.copy(
                            file,
                            Path.of(kept).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
    }
}
