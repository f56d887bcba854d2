import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A machine is lost with its agent and its minion while jobs come in. The count of pending jobs
 * must include at least half of the jobs that were accepted over {@code visible_ms} + 2 s ago and
 * of which no minion has begun a task.
 */
final class PendingJobs {

    private static final int MACHINES = 4;
    private static final int JOBS = 40;
    private static final long SUBMIT_GAP_MILLIS = 25;
    private static final long OLD_MILLIS = 5000;
    private static final long WATCH_MILLIS = 9000;

    private PendingJobs() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long seed = arguments.length > 2 ? Long.parseLong(arguments[2]) : System.nanoTime();
        Set<String> begun = ConcurrentHashMap.newKeySet();
        WorkerStandIn.Observer observer =
                new WorkerStandIn.Observer() {
                    @Override
                    public void started(WorkerStandIn worker, String task, long run) {
                        begun.add(task.substring(0, 16));
                    }

                    @Override
                    public void ended(WorkerStandIn worker, String task, long run, String how) {}

                    @Override
                    public void heartbeatAnswered(WorkerStandIn worker, String state, int code) {}
                };
        try (Bed bed =
                new Bed(Path.of(arguments[0]), Path.of(arguments[1]), MACHINES, 16000, observer,
                        seed)) {
            bed.record.line("seed " + seed + ", trouble " + trouble);
            status = bed.awaitService(20_000) ? run(bed, trouble, new Random(seed), begun, observer) : 2;
            bed.record.line("exit " + status);
        } finally {
            System.exit(status);
        }
    }

    private static int run(
            Bed bed,
            boolean trouble,
            Random random,
            Set<String> begun,
            WorkerStandIn.Observer observer)
            throws Exception {
        Thread.sleep(4000);
        if (trouble) {
            // One that does not lead is lost: the jobs of the others are taken as before.
            int lost = bed.findFollower();
            if (lost < 0) {
                return 2;
            }
            bed.loseMachine(lost);
        }
        // A new machine comes a second later, at other addresses.
        Thread arrival =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(1000);
                                bed.addMachine(16000, observer, 99);
                            } catch (Exception failure) {
                                bed.record.line("no new machine: " + failure);
                            }
                        });
        arrival.setDaemon(true);
        arrival.start();
        Map<String, Long> accepted = new LinkedHashMap<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", random.nextLong());
            if (bed.submit("batch", id, 1, 0, false, 20_000, 1000).status() == 200) {
                accepted.put(id, bed.record.now());
            }
            Thread.sleep(SUBMIT_GAP_MILLIS);
        }
        int broken = 0;
        long end = bed.record.now() + WATCH_MILLIS;
        while (bed.record.now() < end) {
            long asked = bed.record.now();
            Http.Answer answer = Http.call("GET", bed.entry, "/batch/", Bed.HOST, null, 3000);
            long pending = answer.json().path("pending").asLong(-1);
            // Only jobs that have not begun when the answer is there count.
            long owed =
                    accepted.entrySet().stream()
                            .filter(job -> asked - job.getValue() > OLD_MILLIS)
                            .filter(job -> !begun.contains(job.getKey()))
                            .count();
            bed.record.line(
                    "GET /batch/ -> " + answer.status() + " pending " + pending + ", accepted over "
                            + OLD_MILLIS + " ms ago and not begun: " + owed);
            if (answer.status() == 200 && owed >= 2 && 2 * pending < owed) {
                broken++;
            }
            Thread.sleep(100);
        }
        bed.record.line("answers with under half of the jobs that have not begun: " + broken);
        return broken > 0 ? 1 : 0;
    }
}
