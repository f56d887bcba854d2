import java.util.ArrayList;
import java.util.List;

/**
 * The only minion with room turns all starts away for 13 s. Do the jobs that wait for it count as
 * pending?
 */
final class PendingCount {

    private static final int MACHINES = 6;

    /** A job whose tasks fill all minions but one, and last. */
    private static final String FILLING_JOB =
            "{\"spec\":\"work=0\",\"steps\":[{\"count\":5,\"cpu\":16000,\"mem_mb\":8,"
                    + "\"perpetual\":true,\"estimated_ms\":300}]}";

    private static final String JOB =
            "{\"spec\":\"work=1000\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":8,"
                    + "\"estimated_ms\":1000}]}";

    private static final int JOBS = 10;

    /** `visible_ms` + 2 s, and a margin, in milliseconds. */
    private static final long VISIBLE_MILLIS = 5500;

    private static final int COUNTS = 5;

    private static final long PAUSE_MILLIS = 1000;

    private PendingCount() {}

    public static void main(String[] arguments) {
        Minion.RunListener listener =
                new Minion.RunListener() {
                    @Override
                    public void started(Minion minion, String task, int run) {}

                    @Override
                    public void ended(Minion minion, String task, int run, String how) {}
                };
        Setup.main(arguments, MACHINES, listener, PendingCount::run);
    }

    private static int run(Setup setup) throws Exception {
        setup.caller.submit("0000cafe00000001", FILLING_JOB);
        Thread.sleep(3000);
        List<Minion> free =
                setup.minions.stream().filter(minion -> minion.countRunning() == 0).toList();
        if (free.size() != 1) {
            throw new IllegalStateException(free.size() + " minions have room");
        }
        free.get(0).setShedsStarts(setup.trouble);
        List<String> accepted = new ArrayList<>();
        for (int number = 1; number <= JOBS; number++) {
            String job = String.format("00c0ffee%08x", number);
            if (setup.caller.submit(job, JOB).status() / 100 == 2) {
                accepted.add(job);
            }
        }
        Thread.sleep(VISIBLE_MILLIS);
        int wrong = 0;
        for (int count = 0; count < COUNTS; count++) {
            int waiting = setup.trouble ? accepted.size() : 0;
            String answer = setup.caller.query("").body();
            int pending = Integer.parseInt(answer.replaceAll("[^0-9]", ""));
            boolean tooFew = 2 * pending < waiting;
            setup.recorder.record(
                    "jobs that haven't begun: " + waiting + ", answered: " + pending
                            + (tooFew ? ", under half" : ""));
            wrong += tooFew ? 1 : 0;
            Thread.sleep(PAUSE_MILLIS);
        }
        System.out.println(wrong + " of " + COUNTS + " answers gave under half of the jobs");
        return wrong == 0 ? Setup.HELD : Setup.BROKEN;
    }
}
