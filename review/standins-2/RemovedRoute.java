/**
 * The operator removes the route of accepted jobs. They stay accepted: a task that lasts is to be
 * started again however it ends, and a job fails only after max_attempts failed runs of a task.
 */
final class RemovedRoute {

    private static final String LASTS = "5c0e7a21d94b36f8";
    private static final String ENDS = "5c0e7a21d94b36f9";
    private static final int MAX_ATTEMPTS = 4;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(
                    3,
                    16_000,
                    Rig.manifest(
                            1,
                            Rig.route("watch", "/watch/", MAX_ATTEMPTS),
                            Rig.route("scan", "/scan/", MAX_ATTEMPTS)));
            // The first run of each task fails after 12 s, by its own fault; the next one lasts or
            // ends done.
            boolean accepted =
                    rig.submit("/scan/" + LASTS, body(12_000, 0, true), 20)
                            && rig.submit("/scan/" + ENDS, body(12_000, 2000, false), 5);
            if (!accepted) {
                throw new IllegalStateException("a job was not accepted");
            }
            code = play(rig, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static String body(long first, long then, boolean lasts) {
        return "{\"spec\":\"{\\\"ms\\\":"
                + first
                + ",\\\"fail\\\":1,\\\"then\\\":"
                + then
                + "}\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":2000"
                + (lasts ? ",\"perpetual\":true" : "")
                + "}]}";
    }

    private static boolean isAtWork(Rig rig, String job) {
        return rig.minions.stream().anyMatch(minion -> minion.countRunning(job) > 0);
    }

    private static int play(Rig rig, boolean trouble) throws Exception {
        while (!isAtWork(rig, LASTS) || !isAtWork(rig, ENDS)) {
            Rig.sleep(50);
        }
        Rig.sleep(1000);
        if (trouble) {
            String without = Rig.manifest(2, Rig.route("watch", "/watch/", MAX_ATTEMPTS));
            rig.store.publish("config", without);
            rig.log("operator: REMOVED the route of the jobs: " + without);
        }
        while (isAtWork(rig, LASTS) || isAtWork(rig, ENDS)) {
            Rig.sleep(50);
        }
        rig.log("the first run of each task has ended failed; all minions are empty and sound");
        long since = rig.millis();
        while (rig.millis() - since < 15_000 && !isAtWork(rig, LASTS)) {
            Rig.sleep(50);
        }
        boolean startedAgain = isAtWork(rig, LASTS);
        rig.log(
                startedAgain
                        ? "the task that lasts was started again"
                        : "BROKEN: the task that lasts has not been started for 15 s since its last run");
        if (trouble) {
            String again =
                    Rig.manifest(
                            3,
                            Rig.route("watch", "/watch/", MAX_ATTEMPTS),
                            Rig.route("scan", "/scan/", MAX_ATTEMPTS));
            rig.store.publish("config", again);
            rig.log("operator: brought the route back");
        }
        Rig.sleep(6000);
        String state = rig.call("GET", "/scan/" + ENDS, null).state();
        rig.call("GET", "/scan/" + LASTS, null);
        boolean failed = state.equals("failed");
        if (failed) {
            rig.log("BROKEN: a job is shown as failed after 1 failed run of 4");
        } else if (!state.equals("completed")) {
            rig.log("the job that ends is shown as " + state);
        }
        rig.logOutput(4, "\"event\":\"final\"", "configuration-in-force");
        if (startedAgain && state.equals("completed")) {
            rig.log("HELD");
            return 0;
        }
        return !startedAgain || failed ? 1 : 2;
    }
}
