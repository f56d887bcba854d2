import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Of two machines the one that does not lead is lost for good, and says nothing any more, while
 * large jobs come in. The state of an accepted job must be told from {@code finish_s} after the
 * last request on.
 */
final class UnreadOrders {

    private static final int MACHINES = 2;
    private static final int JOBS = 2;
    private static final int TASKS = 2000;
    private static final int SPEC_PADDING = 3900;
    private static final long FINISH_MILLIS = 14_000;
    private static final int QUESTIONS = 8;
    private static final long QUESTION_GAP_MILLIS = 4000;

    private UnreadOrders() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long seed = arguments.length > 2 ? Long.parseLong(arguments[2]) : System.nanoTime();
        WorkerStandIn.Observer observer =
                new WorkerStandIn.Observer() {
                    @Override
                    public void started(WorkerStandIn worker, String task, long run) {}

                    @Override
                    public void ended(WorkerStandIn worker, String task, long run, String how) {}

                    @Override
                    public void heartbeatAnswered(WorkerStandIn worker, String state, int code) {}
                };
        try (Bed bed =
                new Bed(Path.of(arguments[0]), Path.of(arguments[1]), MACHINES, 16000, observer,
                        seed)) {
            bed.record.line("seed " + seed + ", trouble " + trouble);
            status = bed.awaitService(20_000) ? run(bed, trouble, new Random(seed)) : 2;
            bed.record.line("exit " + status);
        } finally {
            System.exit(status);
        }
    }

    private static int run(Bed bed, boolean trouble, Random random) throws Exception {
        Thread.sleep(4000);
        int leader = bed.findLeader();
        if (leader < 0) {
            return 2;
        }
        if (trouble) {
            bed.loseMachine((leader + 1) % MACHINES);
        }
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", random.nextLong());
            if (bed.submit("batch", id, TASKS, 0, false, 3000, 5, SPEC_PADDING).status() == 200) {
                accepted.add(id);
            }
        }
        if (accepted.isEmpty()) {
            bed.record.line("no job was accepted");
            return 2;
        }
        Thread.sleep(FINISH_MILLIS);
        int asked = 0;
        int answered = 0;
        for (int i = 0; i < QUESTIONS; i++) {
            for (String id : accepted) {
                asked++;
                answered += bed.state("batch", id).isEmpty() ? 0 : 1;
            }
            bed.record.line(
                    "the minion of the leader was last called "
                            + bed.workers.get(leader).millisSinceCall() + " ms ago; its agent "
                            + (bed.isAgentAlive(leader) ? "is alive" : "has ended"));
            Thread.sleep(QUESTION_GAP_MILLIS);
        }
        bed.record.line(answered + " of " + asked + " questions for accepted jobs were answered");
        return answered == 0 ? 1 : 0;
    }
}
