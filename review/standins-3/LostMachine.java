import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A machine is lost for good with its agent and its minion, and a new one comes. Five seconds later
 * the agent that leads is stopped in order and started again. A task that lasts and that ran on the
 * lost minion must run again within 6 s + 3 s of its last run, once 7 s have been calm.
 */
final class LostMachine {

    private static final int MACHINES = 6;
    private static final int TASKS = 5;
    private static final long STOP_AFTER_MILLIS = 5000;
    private static final long CALM_MILLIS = 7000;
    private static final long ALLOWED_MILLIS = 9000;
    private static final long WATCH_MILLIS = 20_000;

    private LostMachine() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long seed = arguments.length > 2 ? Long.parseLong(arguments[2]) : System.nanoTime();
        Map<String, WorkerStandIn> at = new ConcurrentHashMap<>();
        WorkerStandIn.Observer observer =
                new WorkerStandIn.Observer() {
                    @Override
                    public void started(WorkerStandIn worker, String task, long run) {
                        at.put(task, worker);
                    }

                    @Override
                    public void ended(WorkerStandIn worker, String task, long run, String how) {
                        at.remove(task, worker);
                    }

                    @Override
                    public void heartbeatAnswered(WorkerStandIn worker, String state, int code) {}
                };
        try (Bed bed =
                new Bed(Path.of(arguments[0]), Path.of(arguments[1]), MACHINES, 16000, observer,
                        seed)) {
            bed.record.line("seed " + seed + ", trouble " + trouble);
            status =
                    bed.awaitService(20_000)
                            ? run(bed, trouble, new Random(seed), at, observer)
                            : 2;
            bed.record.line("exit " + status);
        } finally {
            System.exit(status);
        }
    }

    private static int run(
            Bed bed,
            boolean trouble,
            Random random,
            Map<String, WorkerStandIn> at,
            WorkerStandIn.Observer observer)
            throws Exception {
        String id = String.format("%016x", random.nextLong());
        if (bed.submit("lasting", id, TASKS, 1, true, 400, 1000).status() != 200) {
            return 2;
        }
        Thread.sleep(4000);
        int leader = bed.findLeader();
        String task = null;
        int lost = -1;
        for (Map.Entry<String, WorkerStandIn> entry : at.entrySet()) {
            int machine = bed.workers.indexOf(entry.getValue());
            if (entry.getKey().startsWith(id) && machine != leader) {
                task = entry.getKey();
                lost = machine;
            }
        }
        if (task == null || leader < 0) {
            return 2;
        }
        long lostAt = bed.record.now();
        if (trouble) {
            bed.loseMachine(lost);
            at.remove(task);
        }
        Thread.sleep(1000);
        bed.addMachine(16000, observer, random.nextLong());
        Thread.sleep(Math.max(0, lostAt + STOP_AFTER_MILLIS - bed.record.now()));
        bed.restartAgent(leader);
        // The time is counted from the end of the planned work as well, which the rule does not ask.
        long calmFrom = bed.record.now();
        long end = lostAt + WATCH_MILLIS;
        boolean broken = false;
        boolean back = false;
        while (bed.record.now() < end && !back) {
            long now = bed.record.now();
            back = at.containsKey(task);
            boolean due = now - lostAt > ALLOWED_MILLIS && now - calmFrom > CALM_MILLIS;
            if (!back && due && !broken) {
                broken = true;
                bed.record.line(
                        task + " has not run for " + (now - lostAt) + " ms, calm for "
                                + (now - calmFrom) + " ms");
            }
            Thread.sleep(20);
        }
        bed.record.line(
                task + (back ? " runs " : " does not run ") + (bed.record.now() - lostAt)
                        + " ms after the loss");
        return broken ? 1 : 0;
    }
}
