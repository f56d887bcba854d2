/**
 * Minions crash one after the other, each time the one that runs a task that lasts. The task is to
 * be started again however it ends, and its job is never to be shown as failed.
 */
final class CrashingMinions {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int CRASHES = 6;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(8, 16_000, Rig.manifest(1, Rig.route("watch", "/watch/", 4)));
            String body =
                    "{\"spec\":\"{\\\"ms\\\":0}\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,"
                            + "\"estimated_ms\":400,\"perpetual\":true}]}";
            if (!rig.submit("/watch/" + JOB, body, 20)) {
                throw new IllegalStateException("the job was not accepted");
            }
            code = play(rig, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Rig rig, boolean trouble) throws Exception {
        String task = JOB + ".0.0.0";
        int crashes = 0;
        long lastWork = rig.millis();
        long began = rig.millis();
        while (rig.millis() - began < 60_000) {
            Minion host = null;
            for (Minion minion : rig.minions) {
                host = minion.atWorkMillis(task) >= 0 ? minion : host;
            }
            if (host != null) {
                lastWork = rig.millis();
            }
            if (trouble && crashes < CRASHES && host != null && host.atWorkMillis(task) >= 3000) {
                crashes++;
                host.crash(2500);
            }
            Rig.sleep(50);
            if (rig.millis() % 2000 < 60) {
                String state = rig.call("GET", "/watch/" + JOB, null).state();
                if (state.equals("failed")) {
                    rig.log("BROKEN: the job is shown as failed, though no run ended failed");
                    Rig.sleep(3000);
                    rig.call("GET", "/watch/" + JOB, null);
                    rig.logOutput(8, "worker-crashed", "task-failed-permanently", "\"final\"", "final");
                    return 1;
                }
            }
            if (crashes == CRASHES && rig.millis() - lastWork > 20_000) {
                rig.log("BROKEN: the task has not been started again for 20 s");
                return 1;
            }
            if (trouble && crashes == CRASHES && host != null && host.atWorkMillis(task) > 8000) {
                break;
            }
            if (!trouble && host != null && host.atWorkMillis(task) > 25_000) {
                break;
            }
        }
        rig.log("HELD: crashes " + crashes);
        return 0;
    }
}
