import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The manifest grows by many routes, and then all processes are killed and come back. Is anything
 * served again where the entry's link is thin?
 */
final class Case2 {

    private static final String JOB =
            "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,"
                    + "\"estimated_ms\":300}]}";

    /** The rate of the thinnest links of entries that the pages name, in megabits a second. */
    private static final long ENTRY_MEGABITS = 7;

    /** Twice the routes that the site's days add. */
    private static final int MANY_ROUTES = 3952;

    private static final long SUBMISSION_INTERVAL_MILLIS = 250;

    private static final long BEFORE_MILLIS = 8000;

    /** From the manifest to the end of all processes: until the running entry has it as well. */
    private static final long MANIFEST_MILLIS = 6000;

    private static final long DOWN_MILLIS = 1500;

    /** The bound of the deployment. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long JUDGED_MILLIS = 20_000;

    private record Submission(long sentAt, CompletableFuture<Caller.Reply> reply) {}

    private Case2() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {}

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, 3, ENTRY_MEGABITS, listener, Case2::run);
    }

    private static int run(Setup setup) throws Exception {
        List<Submission> submissions = new ArrayList<>();
        Thread traffic = new Thread(() -> submit(setup, submissions));
        traffic.setDaemon(true);
        traffic.start();
        Thread.sleep(BEFORE_MILLIS);
        if (setup.trouble) {
            String routes = System.getenv().getOrDefault("ROUTES", Integer.toString(MANY_ROUTES));
            setup.publishManifest(Setup.manifest(5, true, Integer.parseInt(routes)));
        }
        Thread.sleep(MANIFEST_MILLIS);
        long endedAt = setup.recorder.nowMillis();
        if (setup.trouble) {
            restartAll(setup);
        }
        long backAt = setup.recorder.nowMillis();
        Thread.sleep(RECOVERY_MILLIS + JUDGED_MILLIS);
        traffic.interrupt();
        traffic.join();
        double before = shareServed(setup, "before the end", submissions, 0, endedAt);
        double after =
                shareServed(
                        setup,
                        "over recovery_s after the return",
                        submissions,
                        backAt + RECOVERY_MILLIS,
                        Long.MAX_VALUE);
        if (before < 0.25) {
            return Setup.NOT_RUN;
        }
        return after < 0.25 ? Setup.BROKEN : Setup.HELD;
    }

    private static void restartAll(Setup setup) throws Exception {
        List<Deployment.Node> all = new ArrayList<>(setup.agents);
        all.add(setup.entry);
        for (Deployment.Node node : all) {
            node.signal("KILL");
        }
        for (Deployment.Node node : all) {
            node.awaitEnd(2000);
        }
        Thread.sleep(DOWN_MILLIS);
        for (Deployment.Node node : all) {
            node.start();
        }
    }

    private static void submit(Setup setup, List<Submission> submissions) {
        try {
            for (int number = 1; true; number++) {
                String job = String.format("00c0ffee%08x", number);
                long sentAt = setup.recorder.nowMillis();
                submissions.add(new Submission(sentAt, setup.caller.submitAsync(job, JOB)));
                Thread.sleep(SUBMISSION_INTERVAL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            return;
        }
    }

    private static double shareServed(
            Setup setup, String when, List<Submission> submissions, long from, long to)
            throws Exception {
        int sent = 0;
        int served = 0;
        for (Submission submission : submissions) {
            if (submission.sentAt() >= from && submission.sentAt() < to) {
                sent++;
                served += submission.reply().get().status() == 200 ? 1 : 0;
            }
        }
        setup.recorder.record("sent " + when + ": " + sent + ", served: " + served);
        return sent == 0 ? 0 : (double) served / sent;
    }
}
