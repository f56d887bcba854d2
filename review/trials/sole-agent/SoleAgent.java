import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One machine of the system is left. The answer to one of its leader's appends is lost, and the
 * store forgets its history. Are callers answered afterwards?
 */
final class SoleAgent {

    private static final String SMALL_JOB =
            "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":8,"
                    + "\"estimated_ms\":300}]}";

    /** How long the loss of the other machine lies back when the store is impaired. */
    private static final long CALM_MILLIS = 10_000;

    private static final int JOBS_BEFORE = 10;

    private static final int JOBS_AFTERWARDS = 20;

    /** The pause between two submissions, in milliseconds. */
    private static final long PAUSE_MILLIS = 500;

    /** `finish_s`, in milliseconds. */
    private static final long FINISH_MILLIS = 14_000;

    /** How often a job is asked for that was not answered. */
    private static final int ROUNDS = 3;

    private SoleAgent() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {}

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, 2, listener, SoleAgent::run);
    }

    private static int run(Setup setup) throws Exception {
        Impairment impairment = new Impairment(setup);
        setup.store.setListener(impairment);
        int lost = 1 - setup.findLeader();
        setup.recorder.record("machine " + (lost + 1) + " is lost for good, with its minion");
        setup.agents.get(lost).signal("KILL");
        setup.minions.get(lost).crash();
        Thread.sleep(CALM_MILLIS);
        List<String> accepted = new ArrayList<>();
        submit(setup, 0, JOBS_BEFORE, accepted);
        int acceptedBefore = accepted.size();
        impairment.due.set(setup.trouble);
        submit(setup, JOBS_BEFORE, JOBS_AFTERWARDS, accepted);
        Thread.sleep(FINISH_MILLIS);
        Map<String, Caller.Reply> unanswered = setup.caller.findUnanswered(accepted, ROUNDS);
        String result =
                acceptedBefore + " of " + JOBS_BEFORE + " jobs accepted before, "
                        + (accepted.size() - acceptedBefore) + " of " + JOBS_AFTERWARDS
                        + " afterwards; " + unanswered.size() + " of the accepted ones not answered";
        setup.recorder.record(result + ": " + unanswered);
        System.out.println(result);
        return unanswered.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }

    private static void submit(Setup setup, int first, int count, List<String> accepted)
            throws InterruptedException {
        for (int number = first + 1; number <= first + count; number++) {
            String job = String.format("00c0ffee%08x", number);
            if (setup.caller.submit(job, SMALL_JOB).status() / 100 == 2) {
                accepted.add(job);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Loses the answer to one append of the leader, and forgets the history at the same moment. */
    private static final class Impairment implements Store.AppendListener {

        private final AtomicBoolean due = new AtomicBoolean();

        private final Setup setup;

        Impairment(Setup setup) {
            this.setup = setup;
        }

        @Override
        public void appended(String topic, Map<String, String> query, List<Store.Entry> records) {
            setup.observeClaims(topic, records);
        }

        @Override
        public boolean losesAnswer(String topic, Map<String, String> query) {
            boolean loses =
                    topic.equals("keyed.cell")
                            && query.containsKey("seq")
                            && due.compareAndSet(true, false);
            if (loses) {
                setup.store.dropHistory(topic);
                setup.recorder.record(
                        "store: has done append " + query.get("seq")
                                + " of the leader, its answer is lost; the history is forgotten");
            }
            return loses;
        }
    }
}
