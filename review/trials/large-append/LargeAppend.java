import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers submit jobs of one small task each that run every minute for three days, all from the same
 * minute on. Do their tasks run when they are due?
 */
final class LargeAppend {

    /** Every minute for three days. */
    private static final int TIMES = 4320;

    private static final long INTERVAL_MILLIS = 60_000;

    private static final int SCHEDULES = 48;

    private static final int SCHEDULES_WITHOUT_TROUBLE = 24;

    /** How far ahead the first time is when the submissions begin, in milliseconds. */
    private static final long FIRST_TIME_AHEAD_MILLIS = 15_000;

    /** How long after the first time the minions are looked at, in milliseconds: over 3 s. */
    private static final long OBSERVED_MILLIS = 15_000;

    private static final String SMALL_JOB =
            "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":8,"
                    + "\"estimated_ms\":300}]}";

    /** The pause between two small jobs, in milliseconds. */
    private static final long PAUSE_MILLIS = 1000;

    /** `finish_s`, in milliseconds. */
    private static final long FINISH_MILLIS = 14_000;

    /** The jobs of which a run has begun. */
    private static final Set<String> begun = ConcurrentHashMap.newKeySet();

    private LargeAppend() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {
                        begun.add(task.substring(0, task.indexOf('.')));
                    }

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, 3, listener, LargeAppend::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.deployment.restartEndedProcesses();
        setup.store.setListener(new RefusalLog(setup));
        long due = System.currentTimeMillis() + FIRST_TIME_AHEAD_MILLIS;
        List<String> accepted = new ArrayList<>();
        int schedules = setup.trouble ? SCHEDULES : SCHEDULES_WITHOUT_TROUBLE;
        for (int number = 1; number <= schedules; number++) {
            submit(setup, String.format("0000cafe%08x", number), newSchedule(due), accepted);
        }
        if (System.currentTimeMillis() > due) {
            throw new IllegalStateException("the first time came before the last submission");
        }
        Thread.sleep(due - System.currentTimeMillis());
        setup.recorder.record("the first time of all " + accepted.size() + " jobs is due");
        int number = 0;
        while (System.currentTimeMillis() < due + OBSERVED_MILLIS) {
            submit(setup, String.format("00c0ffee%08x", ++number), SMALL_JOB, accepted);
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(FINISH_MILLIS);
        return check(setup, accepted);
    }

    private static String newSchedule(long due) {
        return String.format(
                "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":8,"
                        + "\"estimated_ms\":300}],\"start_at_ms\":%d,\"interval_ms\":%d,"
                        + "\"repeat_count\":%d}",
                due, INTERVAL_MILLIS, TIMES);
    }

    private static void submit(Setup setup, String job, String body, List<String> accepted) {
        if (setup.caller.submit(job, body).status() / 100 == 2) {
            accepted.add(job);
        }
    }

    /** Each accepted job had a task whose turn came 14 s ago or earlier. */
    private static int check(Setup setup, List<String> accepted) {
        List<String> notBegun = new ArrayList<>(accepted);
        notBegun.removeAll(begun);
        int running = setup.minions.stream().mapToInt(Minion::countRunning).sum();
        String result =
                accepted.size() + " jobs accepted, " + notBegun.size()
                        + " of them without any run yet, " + running + " runs on all minions";
        setup.recorder.record(result + "; without any run: " + notBegun);
        System.out.println(result);
        return notBegun.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }

    /** Writes to the record which appends the store refuses for their size. */
    private static final class RefusalLog implements Store.AppendListener {

        private final Setup setup;

        RefusalLog(Setup setup) {
            this.setup = setup;
        }

        @Override
        public void appended(String topic, Map<String, String> query, List<Store.Entry> records) {
            setup.observeClaims(topic, records);
        }

        @Override
        public void refused(String topic, int recordBytes, int callBytes) {
            setup.recorder.record(
                    "store: refuses an append to " + topic + " of " + callBytes
                            + " bytes, its largest record has " + recordBytes);
        }
    }
}
