import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Minions crash one at a time, drawn at random, and come back half a second later. Accepted jobs
 * that last, of which no run ever ends {@code failed} and which nobody cancels, must not be shown
 * as {@code failed}.
 */
final class CrashedTasks {

    private static final int MINIONS = 7;
    private static final int JOBS = 24;
    private static final int TASKS = 6;
    private static final int CRASHES = 40;
    private static final long GAP_MILLIS = 1000;
    private static final long DOWN_MILLIS = 500;

    private CrashedTasks() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long seed = arguments.length > 2 ? Long.parseLong(arguments[2]) : System.nanoTime();
        Set<String> failedRuns = ConcurrentHashMap.newKeySet();
        WorkerStandIn.Observer observer =
                new WorkerStandIn.Observer() {
                    @Override
                    public void started(WorkerStandIn worker, String task, long run) {}

                    @Override
                    public void ended(WorkerStandIn worker, String task, long run, String how) {
                        if (how.equals("failed")) {
                            failedRuns.add(task);
                        }
                    }

                    @Override
                    public void heartbeatAnswered(WorkerStandIn worker, String state, int code) {}
                };
        try (Bed bed =
                new Bed(Path.of(arguments[0]), Path.of(arguments[1]), MINIONS, 16000, observer,
                        seed)) {
            bed.record.line("seed " + seed + ", trouble " + trouble);
            status = bed.awaitService(20_000) ? run(bed, trouble, new Random(seed), failedRuns) : 2;
            bed.record.line("exit " + status);
        } finally {
            System.exit(status);
        }
    }

    private static int run(Bed bed, boolean trouble, Random random, Set<String> failedRuns)
            throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", random.nextLong());
            if (bed.submit("lasting", id, TASKS, 1, true, 400, 300 + 150 * (i % 5)).status() == 200) {
                accepted.add(id);
            }
        }
        if (accepted.size() < JOBS) {
            return 2;
        }
        Thread.sleep(3000);
        Set<String> shownFailed = new HashSet<>();
        for (int i = 0; i < CRASHES && shownFailed.isEmpty(); i++) {
            long next = bed.record.now() + GAP_MILLIS;
            if (trouble) {
                WorkerStandIn worker = bed.workers.get(random.nextInt(MINIONS));
                worker.crash();
                Thread.sleep(DOWN_MILLIS);
                worker.start();
            }
            for (String id : accepted) {
                if (bed.state("lasting", id).equals("failed")) {
                    shownFailed.add(id);
                }
            }
            Thread.sleep(Math.max(0, next - bed.record.now()));
        }
        bed.record.line("runs that ended failed: " + failedRuns);
        bed.record.line("accepted jobs shown as failed: " + shownFailed);
        if (!bed.allRunning()) {
            bed.record.line("a program has ended by itself");
        }
        return shownFailed.isEmpty() || !failedRuns.isEmpty() ? 0 : 1;
    }
}
