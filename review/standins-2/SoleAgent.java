/**
 * All machines with agents but one are lost. Later the store loses the answer to one append and
 * forgets its history. The machine that is left is to go on leading.
 */
final class SoleAgent {

    private static final int MINIONS = 2;

    /** The pages' finish_s, after which LOST asks for the jobs. */
    private static final long FINISH_MILLIS = 14_000;

    private static final int QUESTIONS = 10;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            rig.start(MINIONS, 16_000, Rig.manifest(1, Rig.route("match", "/match/", 4)));
            if (!rig.submit(path(0), body(), 20)) {
                throw new IllegalStateException("the first job was not accepted");
            }
            Rig.sleep(2000);
            if (trouble) {
                rig.loseAllButLeader();
            }
            Rig.sleep(10_000);
            code = play(rig, trouble);
            rig.logOutput(4, "append-refused", "deposed", "\"event\":\"claim\"");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static String path(int number) {
        return "/match/5c0e7a21d94b37" + String.format("%02x", number);
    }

    private static String body() {
        return SoundJobs.body("{\\\"ms\\\":1000}", 2, 1000, "");
    }

    private static int play(Rig rig, boolean trouble) throws InterruptedException {
        int number = 1;
        for (; number <= QUESTIONS; number++) {
            if (!rig.submit(path(number), body(), 3)) {
                throw new IllegalStateException("a job was not accepted");
            }
        }
        if (trouble) {
            rig.store.loseAnswerAndForget();
        }
        int taken = 0;
        for (; number <= 2 * QUESTIONS; number++) {
            taken += rig.call("POST", path(number), body()).status() == 200 ? 1 : 0;
            Rig.sleep(500);
        }
        Rig.sleep(FINISH_MILLIS);
        int known = 0;
        for (int i = 1; i <= QUESTIONS; i++) {
            known += rig.call("GET", path(i), null).status() == 200 ? 1 : 0;
            Rig.sleep(500);
        }
        rig.log(
                taken
                        + " of 10 jobs were accepted after it; from "
                        + FINISH_MILLIS
                        + " ms later on the states of jobs accepted before it were told "
                        + known
                        + " of "
                        + QUESTIONS
                        + " times");
        rig.log(known == 0 ? "BROKEN: no answer comes for an accepted job" : "HELD");
        return known == 0 ? 1 : known == QUESTIONS ? 0 : 2;
    }
}
