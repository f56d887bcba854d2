/**
 * A job has tasks that take some minutes each, on sound minions that show their progress in whole
 * percents. Sound jobs of other queues are to run beside it: the minions are nearly empty.
 */
final class LongTasks {

    private static final String LONG = "5c0e7a21d94b36f8";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(
                    4,
                    16_000,
                    Rig.manifest(
                            1,
                            Rig.route("roster", "/roster/", 4),
                            Rig.route("match", "/match/", 4),
                            Rig.route("scan", "/scan/", 4).put("priority", 2)));
            long ms = trouble ? 300_000 : 30_000;
            String body = SoundJobs.body("{\\\"ms\\\":" + ms + "}", 40, ms, "");
            if (!rig.submit("/roster/" + LONG, body, 20)) {
                throw new IllegalStateException("the job with long tasks was not accepted");
            }
            Rig.sleep(20_000);
            SoundJobs.submit(rig);
            code = SoundJobs.watch(rig);
            rig.call("GET", "/roster/" + LONG, null);
            rig.log(
                    "runs of the long job that were stopped: "
                            + Minion.countStops(LONG)
                            + "; its longest run: "
                            + Minion.longestRunMillis(LONG)
                            + " ms");
            rig.logOutput(4, "\"stalled\"", "worker-set-aside");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
