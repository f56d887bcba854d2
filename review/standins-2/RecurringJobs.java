import java.util.HashSet;

/**
 * Clients submit jobs that recur each minute for two days, and later the process that leads the
 * cell is killed. The jobs are to stay known, and others are to be accepted.
 */
final class RecurringJobs {

    private static final int TWO_DAYS_OF_MINUTES = 2 * 24 * 60;
    private static final int JOBS = 20;

    /** The pages' finish_s, after which LOST asks for the jobs. */
    private static final long FINISH_MILLIS = 14_000;

    private static final int QUESTIONS = 6;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(
                    4,
                    16_000,
                    Rig.manifest(
                            1, Rig.route("match", "/match/", 4), Rig.route("scan", "/scan/", 4)));
            if (!rig.submit("/match/5c0e7a21d94b3700", SoundJobs.body("{\\\"ms\\\":1000}", 2, 1000, ""), 20)) {
                throw new IllegalStateException("the first job was not accepted");
            }
            Rig.sleep(3000);
            submitJobs(rig);
            Rig.sleep(2000);
            if (trouble) {
                rig.killLeader();
            }
            code = watch(rig);
            rig.logOutput(2, "OutOfMemory");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static String path(int number) {
        return "/scan/5c0e7a21d94b38" + String.format("%02x", number);
    }

    private static void submitJobs(Rig rig) throws InterruptedException {
        String steps = SoundJobs.body("{\\\"ms\\\":1000}", 8, 1000, "");
        String body =
                steps.substring(0, steps.length() - 1)
                        + ",\"start_at_ms\":"
                        + (System.currentTimeMillis() + 600_000)
                        + ",\"interval_ms\":60000,\"repeat_count\":"
                        + TWO_DAYS_OF_MINUTES
                        + "}";
        for (int i = 0; i < JOBS; i++) {
            if (!rig.submit(path(i), body, 3)) {
                throw new IllegalStateException("a recurring job was not accepted");
            }
            Rig.sleep(150);
        }
        rig.log(JOBS + " jobs were accepted: " + body);
    }

    /** Asks for the jobs from finish_s on; returns 1 if none of the questions is answered. */
    private static int watch(Rig rig) throws InterruptedException {
        Rig.sleep(FINISH_MILLIS);
        int known = 0;
        int taken = 0;
        for (int i = 0; i < QUESTIONS; i++) {
            known += rig.call("GET", path(i), null).status() == 200 ? 1 : 0;
            Rig.sleep(1000);
        }
        // Not judged: whether other jobs are accepted.
        for (int i = 0; i < QUESTIONS; i++) {
            String other = "/match/5c0e7a21d94b39" + String.format("%02x", i);
            String body = SoundJobs.body("{\\\"ms\\\":1000}", 1, 1000, "");
            taken += rig.call("POST", other, body).status() == 200 ? 1 : 0;
            Rig.sleep(1000);
        }
        rig.log(
                "from "
                        + FINISH_MILLIS
                        + " ms on: states of accepted jobs told "
                        + known
                        + " of "
                        + QUESTIONS
                        + " times, other jobs accepted "
                        + taken
                        + " of "
                        + QUESTIONS
                        + " times; processes ended by themselves "
                        + rig.ends.size()
                        + " times on "
                        + new HashSet<>(rig.ends).size()
                        + " of 5 machines");
        rig.log(known == 0 ? "BROKEN: no answer comes for an accepted job" : "HELD");
        return known == 0 ? 1 : 0;
    }
}
