import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Half of the orders get no answer and are carried out 2 to 12 s later, while minions leave one
 * after the other. No order may start a task at once on a minion that was acknowledged as draining
 * more than {@code drain_ms} before.
 */
final class DrainingMinion {

    private static final int MINIONS = 7;
    private static final int LEAVING = 5;
    private static final long SPELL_MILLIS = 5500;
    private static final long DRAIN_AFTER_MILLIS = 2000;
    private static final long ALLOWED_MILLIS = 2000;
    private static final double UNANSWERED = 0.5;
    private static final long JOB_GAP_MILLIS = 100;

    private DrainingMinion() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long seed = arguments.length > 2 ? Long.parseLong(arguments[2]) : System.nanoTime();
        Map<WorkerStandIn, Long> acknowledged = new ConcurrentHashMap<>();
        Set<String> broken = ConcurrentHashMap.newKeySet();
        WorkerStandIn.Observer observer =
                new WorkerStandIn.Observer() {
                    @Override
                    public void started(WorkerStandIn worker, String task, long run) {
                        Long since = acknowledged.get(worker);
                        long millis = since == null ? 0 : System.nanoTime() / 1_000_000 - since;
                        if (millis > ALLOWED_MILLIS) {
                            broken.add(
                                    task + " run " + run + " on " + worker.name + ", " + millis
                                            + " ms after the ack");
                        }
                    }

                    @Override
                    public void ended(WorkerStandIn worker, String task, long run, String how) {}

                    @Override
                    public void heartbeatAnswered(WorkerStandIn worker, String state, int code) {
                        if (state.equals("draining") && code == 200) {
                            acknowledged.putIfAbsent(worker, System.nanoTime() / 1_000_000);
                        }
                    }
                };
        try (Bed bed =
                new Bed(Path.of(arguments[0]), Path.of(arguments[1]), MINIONS, 16000, observer,
                        seed)) {
            bed.record.line("seed " + seed + ", trouble " + trouble);
            status =
                    bed.awaitService(20_000) ? run(bed, trouble, new Random(seed), broken) : 2;
            bed.record.line("exit " + status);
        } finally {
            System.exit(status);
        }
    }

    private static int run(Bed bed, boolean trouble, Random random, Set<String> broken)
            throws Exception {
        Random draws = new Random(random.nextLong());
        for (WorkerStandIn worker : bed.workers) {
            worker.lateness =
                    () -> {
                        synchronized (draws) {
                            return trouble && draws.nextDouble() < UNANSWERED
                                    ? 2000L + draws.nextInt(10_000)
                                    : -1L;
                        }
                    };
        }
        for (int spell = 0; spell < LEAVING; spell++) {
            long start = bed.record.now();
            boolean drained = false;
            while (bed.record.now() < start + SPELL_MILLIS) {
                if (!drained && bed.record.now() >= start + DRAIN_AFTER_MILLIS) {
                    bed.workers.get(spell).drain();
                    drained = true;
                }
                String id = String.format("%016x", random.nextLong());
                bed.submit("quick", id, 8, 0, false, 900, 300);
                Thread.sleep(JOB_GAP_MILLIS);
            }
        }
        Thread.sleep(4000);
        broken.forEach(start -> bed.record.line("started too late: " + start));
        bed.record.line(broken.size() + " starts later than " + ALLOWED_MILLIS + " ms after an ack");
        return broken.isEmpty() ? 0 : 1;
    }
}
