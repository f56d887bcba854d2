/**
 * Clients submit jobs that recur each minute for three days, all due at the same moment. They are
 * to run when they are due.
 */
final class LargeAppend {

    private static final int THREE_DAYS_OF_MINUTES = 3 * 24 * 60;

    /** The pages' finish_s, after which LOST asks for the jobs. */
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(
                    4,
                    16_000,
                    Rig.manifest(
                            1, Rig.route("match", "/match/", 4), Rig.route("scan", "/scan/", 4)));
            String small = SoundJobs.body("{\\\"ms\\\":1000}", 2, 1000, "");
            if (!rig.submit("/match/5c0e7a21d94b3700", small, 20)) {
                throw new IllegalStateException("the first job was not accepted");
            }
            code = play(rig, trouble ? 48 : 24);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static String path(int number) {
        return "/scan/5c0e7a21d94b38" + String.format("%02x", number);
    }

    private static int play(Rig rig, int jobs) throws Exception {
        String steps =
                SoundJobs.body("{\\\"ms\\\":1000}", 1, 1000, "").replace("\"cpu\":500", "\"cpu\":100");
        String body =
                steps.substring(0, steps.length() - 1)
                        + ",\"start_at_ms\":"
                        + (System.currentTimeMillis() + 25_000)
                        + ",\"interval_ms\":60000,\"repeat_count\":"
                        + THREE_DAYS_OF_MINUTES
                        + "}";
        long due = rig.millis() + 25_000;
        for (int i = 0; i < jobs; i++) {
            if (!rig.submit(path(i), body, 3)) {
                throw new IllegalStateException("a recurring job was not accepted");
            }
            Rig.sleep(100);
        }
        rig.log(jobs + " jobs were accepted: " + body);
        while (rig.millis() < due + FINISH_MILLIS) {
            Rig.sleep(100);
        }
        int ends = Minion.countEnds();
        int taken = 0;
        int known = 0;
        for (int i = 0; i < 8; i++) {
            known += rig.call("GET", path(i), null).status() == 200 ? 1 : 0;
            String other = "/match/5c0e7a21d94b39" + String.format("%02x", i);
            String small = SoundJobs.body("{\\\"ms\\\":1000}", 1, 1000, "");
            taken += rig.call("POST", other, small).status() == 200 ? 1 : 0;
            Rig.sleep(1000);
        }
        int begun = Minion.countStarted("5c0e7a21d94b38");
        rig.log(
                "at " + FINISH_MILLIS + " ms after they were due and later: " + begun + " of " + jobs
                        + " jobs have had a run, " + taken + " of 8 other jobs were accepted, "
                        + known + " of 8 states were told; runs ended so far " + ends);
        rig.log(begun == 0 ? "BROKEN: no job that is due has anything running" : "HELD");
        return begun == 0 ? 1 : begun == jobs ? 0 : 2;
    }
}
