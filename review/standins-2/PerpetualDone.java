/**
 * The runs of a job that lasts end `done` once. They are to be started again however they end, and
 * the job runs until it is cancelled.
 */
final class PerpetualDone {

    private static final String JOB = "5c0e7a21d94b36f8";

    /** LOST: from 6 s after its last run, for 3 s. */
    private static final long LOST_MILLIS = 9000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(3, 16_000, Rig.manifest(1, Rig.route("watch", "/watch/", 4)));
            String end = trouble ? "" : ",\\\"fail\\\":1";
            String spec = "{\\\"ms\\\":8000" + end + ",\\\"then\\\":0}";
            String body = SoundJobs.body(spec, 3, 400, ",\"perpetual\":true");
            if (!rig.submit("/watch/" + JOB, body, 20)) {
                throw new IllegalStateException("the job was not accepted");
            }
            code = play(rig);
            rig.logOutput(4, "\"event\":\"final\"");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static int countAtWork(Rig rig) {
        return rig.minions.stream().mapToInt(minion -> minion.countRunning(JOB)).sum();
    }

    private static int play(Rig rig) throws InterruptedException {
        while (countAtWork(rig) < 3) {
            Rig.sleep(20);
        }
        Rig.sleep(7000);
        while (Minion.countEnds() < 3) {
            Rig.sleep(20);
        }
        long since = rig.millis();
        while (rig.millis() - since < LOST_MILLIS + 3000 && countAtWork(rig) < 3) {
            Rig.sleep(20);
        }
        String state = rig.call("GET", "/watch/" + JOB, null).state();
        int atWork = countAtWork(rig);
        rig.log((rig.millis() - since) + " ms after the first runs: " + atWork + " of 3 tasks at work");
        boolean broken = atWork < 3;
        rig.log(broken ? "BROKEN: the job is shown as " + state : "HELD");
        return broken ? 1 : 0;
    }
}
