/**
 * One of twenty jobs that last has tasks that fail soon after each start, by their own fault. Sound jobs of
 * other queues are to run all the same: the minions are sound and nearly empty.
 */
final class CrashLoop {

    /** The jobs that last; one of them fails, a share of 0.05. */
    private static final int JOBS = 20;

    private static final String LASTS = "{\\\"ms\\\":0}";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(
                    4,
                    16_000,
                    Rig.manifest(
                            1,
                            Rig.route("watch", "/watch/", 4),
                            Rig.route("match", "/match/", 4),
                            Rig.route("scan", "/scan/", 4).put("priority", 2)));
            String fails = trouble ? "{\\\"ms\\\":400,\\\"fail\\\":1000000}" : LASTS;
            submit(rig, 0, fails, 6);
            for (int i = 1; i < JOBS; i++) {
                submit(rig, i, LASTS, 1);
            }
            Rig.sleep(10_000);
            SoundJobs.submit(rig);
            code = SoundJobs.watch(rig);
            rig.logOutput(4, "worker-set-aside");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static void submit(Rig rig, int number, String spec, int count)
            throws InterruptedException {
        String path = "/watch/5c0e7a21d94b36" + String.format("%02x", number);
        if (!rig.submit(path, SoundJobs.body(spec, count, 400, ",\"perpetual\":true"), 20)) {
            throw new IllegalStateException("a job that lasts was not accepted");
        }
    }
}
