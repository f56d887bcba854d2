/**
 * The tasks of one job that lasts fail soon after each start, by their own fault. Sound jobs of
 * other queues are to run all the same: the minions are sound and nearly empty.
 */
final class CrashLoop {

    private static final String WATCH = "5c0e7a21d94b36f8";

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
            String spec = trouble ? "{\\\"ms\\\":400,\\\"fail\\\":1000000}" : "{\\\"ms\\\":0}";
            String watch = SoundJobs.body(spec, 6, 400, ",\"perpetual\":true");
            if (!rig.submit("/watch/" + WATCH, watch, 20)) {
                throw new IllegalStateException("the job that lasts was not accepted");
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
}
