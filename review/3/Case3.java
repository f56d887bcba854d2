import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.standlink.election.Claim;

/**
 * A leader that was partitioned from the store is stopped in order while its successor has just
 * begun to write. Are the jobs that were accepted afterwards known?
 */
final class Case3 {

    private static final String JOB =
            "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,"
                    + "\"estimated_ms\":300}]}";

    private static final long SUBMISSION_INTERVAL_MILLIS = 40;

    /** How long before the end of the cut the partitioned leader gets its SIGTERM. */
    private static final long TERM_BEFORE_HEAL_MILLIS = 150;

    /** How long the process that was stopped in order stays away. */
    private static final long RESTART_DELAY_MILLIS = 300;

    /** How long the process that was killed stays away after the other one has claimed the lead. */
    private static final long SUCCESSOR_AWAY_MILLIS = 2000;

    private static final long CLAIM_TIMEOUT_MILLIS = 6000;

    /** From the end of the troubles to the last submission; the machines are in touch by then. */
    private static final long TRAFFIC_AFTER_TROUBLE_MILLIS = 10_000;

    /** `visible_ms` and a margin. */
    private static final long VISIBLE_MILLIS = 4000;

    private record Submission(String job, CompletableFuture<Caller.Reply> reply) {}

    private Case3() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {}

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, 2, listener, Case3::run);
    }

    private static int run(Setup setup) throws Exception {
        List<Submission> submissions = new ArrayList<>();
        Thread traffic = new Thread(() -> submit(setup, submissions));
        traffic.setDaemon(true);
        traffic.start();
        Thread.sleep(3000);
        if (setup.trouble) {
            disrupt(setup);
        }
        Thread.sleep(TRAFFIC_AFTER_TROUBLE_MILLIS);
        traffic.interrupt();
        traffic.join();
        List<String> accepted = new ArrayList<>();
        for (Submission submission : submissions) {
            if (submission.reply().get().status() / 100 == 2) {
                accepted.add(submission.job());
            }
        }
        Thread.sleep(VISIBLE_MILLIS);
        return check(setup, accepted);
    }

    private static void submit(Setup setup, List<Submission> submissions) {
        try {
            for (int number = 1; true; number++) {
                String job = String.format("00c0ffee%08x", number);
                submissions.add(new Submission(job, setup.caller.submitAsync(job, JOB)));
                Thread.sleep(SUBMISSION_INTERVAL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            return;
        }
    }

    private static void disrupt(Setup setup) throws Exception {
        int first = setup.findLeader();
        long firstEpoch = setup.newestClaim().epoch().getValue();
        Deployment.Node leader = setup.agents.get(first);
        Deployment.Node successor = setup.agents.get(1 - first);
        CountDownLatch written = new CountDownLatch(1);
        setup.store.setListener(
                (topic, query, records) -> {
                    setup.observeClaims(topic, records);
                    boolean successorWrites =
                            topic.equals("keyed.cell")
                                    && Long.parseLong(query.get("epoch")) == firstEpoch + 1
                                    && query.containsKey("seq")
                                    && written.getCount() > 0;
                    if (successorWrites) {
                        kill(successor);
                        written.countDown();
                    }
                });
        setup.recorder.record("the leader " + leader.getName() + " is cut off from the store");
        setup.paths.get(first).setCut(true);
        if (!written.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("nobody has succeeded the leader");
        }
        setup.store.setListener(new AppendLog(setup));
        leader.signal("TERM");
        Thread.sleep(TERM_BEFORE_HEAL_MILLIS);
        setup.recorder.record("the cut ends");
        setup.paths.get(first).setCut(false);
        if (!leader.awaitEnd(5000)) {
            throw new IllegalStateException("the stopped leader has not ended");
        }
        Thread.sleep(RESTART_DELAY_MILLIS);
        leader.start();
        awaitNextClaim(setup);
        Thread.sleep(SUCCESSOR_AWAY_MILLIS);
        successor.awaitEnd(1000);
        successor.start();
    }

    /** Waits until somebody claims the lead after the resignation, if there is one. */
    private static void awaitNextClaim(Setup setup) throws InterruptedException {
        long deadline = setup.recorder.nowMillis() + CLAIM_TIMEOUT_MILLIS;
        Claim last = setup.newestClaim();
        while (setup.newestClaim() == last && setup.recorder.nowMillis() < deadline) {
            Thread.sleep(20);
        }
    }

    private static void kill(Deployment.Node node) {
        try {
            node.signal("KILL");
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Writes the claims and what is kept of new jobs to the record. */
    private static final class AppendLog implements Store.AppendListener {

        private final Setup setup;

        AppendLog(Setup setup) {
            this.setup = setup;
        }

        @Override
        public void appended(String topic, Map<String, String> query, List<Store.Entry> records) {
            setup.observeClaims(topic, records);
            write("appended", topic, query, records);
        }

        @Override
        public void answeredAgain(
                String topic, Map<String, String> query, List<Store.Entry> records) {
            write("not appended, first answer given again", topic, query, records);
        }

        private void write(
                String result, String topic, Map<String, String> query, List<Store.Entry> records) {
            List<String> jobs =
                    records.stream()
                            .map(Store.Entry::key)
                            .filter(key -> key.startsWith("d/"))
                            .toList();
            if (topic.equals("keyed.cell") && query.containsKey("seq") && !jobs.isEmpty()) {
                setup.recorder.record(
                        "store: " + result + ", epoch " + query.get("epoch") + ", number "
                                + query.get("seq") + ", definitions " + jobs);
            }
        }
    }

    private static int check(Setup setup, List<String> accepted) {
        int lost = 0;
        for (String job : accepted) {
            Caller.Reply reply = setup.caller.query(job);
            if (reply.status() == 410) {
                lost++;
                setup.recorder.record("LOST: job " + job + " was accepted, and is not known");
            }
        }
        setup.recorder.record(accepted.size() + " jobs accepted, " + lost + " of them not known");
        return lost > 0 ? Setup.BROKEN : Setup.HELD;
    }
}
