import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers submit jobs of one small task each that run every minute for two weeks. Are all accepted
 * jobs still known, and are small jobs beside them run?
 */
final class ManyTimes {

    /** Every minute for two weeks. */
    private static final int TIMES = 20_160;

    private static final long INTERVAL_MILLIS = 60_000;

    /** How far ahead the first time of a job is: none of them is due while the case runs. */
    private static final long FIRST_TIME_AHEAD_MILLIS = 3_600_000;

    private static final int SCHEDULES = 18;

    private static final int SCHEDULES_WITHOUT_TROUBLE = 5;

    private static final String SMALL_JOB =
            "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":8,"
                    + "\"estimated_ms\":300}]}";

    private static final int SMALL_JOBS_AFTERWARDS = 6;

    /** The pause between two submissions, in milliseconds. */
    private static final long PAUSE_MILLIS = 500;

    /** `finish_s`, in milliseconds. */
    private static final long FINISH_MILLIS = 14_000;

    /** How often a job is asked for that was not answered. */
    private static final int ROUNDS = 3;

    /** The jobs of which a run has begun. */
    private static final Set<String> begun = ConcurrentHashMap.newKeySet();

    private ManyTimes() {}

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
        Setup.main(arguments, 3, listener, ManyTimes::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.deployment.restartEndedProcesses();
        List<String> accepted = new ArrayList<>();
        List<String> smallAccepted = new ArrayList<>();
        int schedules = setup.trouble ? SCHEDULES : SCHEDULES_WITHOUT_TROUBLE;
        for (int number = 1; number <= schedules; number++) {
            submit(setup, String.format("0000cafe%08x", number), newSchedule(), accepted);
            submit(setup, String.format("00c0ffee%08x", number), SMALL_JOB, smallAccepted);
            Thread.sleep(PAUSE_MILLIS);
        }
        for (int number = 1; number <= SMALL_JOBS_AFTERWARDS; number++) {
            int id = schedules + number;
            submit(setup, String.format("00c0ffee%08x", id), SMALL_JOB, smallAccepted);
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(FINISH_MILLIS);
        return check(setup, accepted, smallAccepted);
    }

    private static String newSchedule() {
        return String.format(
                "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":8,"
                        + "\"estimated_ms\":300}],\"start_at_ms\":%d,\"interval_ms\":%d,"
                        + "\"repeat_count\":%d}",
                System.currentTimeMillis() + FIRST_TIME_AHEAD_MILLIS, INTERVAL_MILLIS, TIMES);
    }

    private static void submit(Setup setup, String job, String body, List<String> accepted) {
        if (setup.caller.submit(job, body).status() / 100 == 2) {
            accepted.add(job);
        }
    }

    private static int check(Setup setup, List<String> schedules, List<String> smallJobs)
            throws Exception {
        List<String> all = new ArrayList<>(schedules);
        all.addAll(smallJobs);
        Map<String, Caller.Reply> unanswered = setup.caller.findUnanswered(all, ROUNDS);
        List<String> notBegun = new ArrayList<>(smallJobs);
        notBegun.removeAll(begun);
        int ends = setup.agents.stream().mapToInt(Deployment.Node::getOwnEnds).sum();
        setup.recorder.record(
                schedules.size()
                        + " schedules and "
                        + smallJobs.size()
                        + " small jobs accepted; not answered "
                        + ROUNDS
                        + " times in a row: "
                        + unanswered.keySet()
                        + "; small jobs that never began: "
                        + notBegun
                        + "; processes that ended by themselves: "
                        + ends);
        System.out.println(
                "accepted " + schedules.size() + " schedules, " + smallJobs.size() + " small jobs; "
                        + unanswered.size() + " not answered, " + notBegun.size()
                        + " small jobs not begun, " + ends + " processes ended by themselves");
        return unanswered.isEmpty() && notBegun.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }
}
