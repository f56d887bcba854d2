import java.io.IOException;

/**
 * The minion that runs a task that lasts crashes, five times within some seconds of work. Does the
 * task go on afterwards, and what does its job show?
 */
final class Case2 {

    private static final String JOB = "00c0ffee00000002";

    private static final String TASK = JOB + ".0.0.0";

    /** A job with one task that lasts; its runs end only by what happens to their minion. */
    private static final String BODY =
            "{\"spec\":\"work=0\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"
                    + "\"estimated_ms\":1000,\"perpetual\":true,\"image\":\"watch\"}]}";

    private static final int CRASHES = 5;

    /** How long a run works before its minion crashes. */
    private static final long WORK_MILLIS = 4000;

    /** How long a crashed minion is away. */
    private static final long AWAY_MILLIS = 3000;

    private static final long START_TIMEOUT_MILLIS = 15_000;

    /** What the rule allows a task that lasts: 6 s after its last run, 3 s, and the 4 s before. */
    private static final long CALM_MILLIS = 13_000;

    private Case2() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {}

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, 4, listener, Case2::run);
    }

    private static int run(Setup setup) throws Exception {
        if (setup.caller.submit(JOB, BODY).status() != 200) {
            return Setup.NOT_RUN;
        }
        for (int crash = 1; crash <= CRASHES; crash++) {
            Minion minion = awaitRun(setup);
            if (minion == null) {
                setup.recorder.record("the task isn't started again");
                break;
            }
            Thread.sleep(WORK_MILLIS);
            if (setup.trouble) {
                crash(setup, minion);
            }
        }
        Thread.sleep(CALM_MILLIS);
        return check(setup);
    }

    private static Minion findRun(Setup setup) {
        return setup.minions.stream().filter(minion -> minion.runs(TASK)).findFirst().orElse(null);
    }

    private static Minion awaitRun(Setup setup) throws InterruptedException {
        long deadline = setup.recorder.nowMillis() + START_TIMEOUT_MILLIS;
        Minion minion = findRun(setup);
        while (minion == null && setup.recorder.nowMillis() < deadline) {
            Thread.sleep(50);
            minion = findRun(setup);
        }
        return minion;
    }

    private static void crash(Setup setup, Minion minion) {
        minion.crash();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(AWAY_MILLIS);
                                minion.begin();
                            } catch (InterruptedException | IOException failure) {
                                throw new IllegalStateException(failure);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static int check(Setup setup) {
        Caller.Reply reply = setup.caller.query(JOB);
        boolean failed = reply.status() == 200 && reply.body().contains("failed");
        boolean running = findRun(setup) != null;
        if (failed) {
            setup.recorder.record("LOST: the job is shown as failed, and none of its runs failed");
        }
        if (!running) {
            setup.recorder.record(
                    "LOST: the task doesn't run, "
                            + CALM_MILLIS
                            + " ms after the last crash, with all minions up and nothing else to run");
        }
        setup.recorder.record(
                "the job is shown as " + reply.body() + ", its task " + (running ? "runs" : "doesn't run"));
        return failed || !running ? Setup.BROKEN : Setup.HELD;
    }
}
