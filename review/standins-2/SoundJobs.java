import java.util.List;

/** Sound jobs that a client submits, and for how long each of them had nothing running. */
final class SoundJobs {

    private static final List<String> IDS =
            List.of("5c0e7a21d94b3700", "5c0e7a21d94b3701", "5c0e7a21d94b3702");

    /** The pages' finish_s, after which LOST asks for the jobs, and its 3 s. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long IDLE_MILLIS = 3000;

    private static final long WATCH_MILLIS = 45_000;

    private SoundJobs() {}

    /** Submits a job of the first queue and two of the second, two tasks of 1 s on 0.5 cores each. */
    static void submit(Rig rig) throws InterruptedException {
        for (int i = 0; i < IDS.size(); i++) {
            if (!rig.submit(path(i), body("{\\\"ms\\\":1000}", 2, 1000, ""), 5)) {
                throw new IllegalStateException("a sound job was not accepted");
            }
        }
    }

    static String body(String spec, int count, long estimate, String more) {
        return "{\"spec\":\""
                + spec
                + "\",\"steps\":[{\"count\":"
                + count
                + ",\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":"
                + estimate
                + more
                + "}]}";
    }

    private static String path(int number) {
        return (number == 0 ? "/match/" : "/scan/") + IDS.get(number);
    }

    /** Watches the jobs; returns 1 if LOST was broken, 0 if not. */
    static int watch(Rig rig) throws InterruptedException {
        int count = IDS.size();
        long[] idleSince = new long[count];
        long[] longest = new long[count];
        boolean[] done = new boolean[count];
        int mostRunning = 0;
        long since = rig.millis();
        long nextLook = since;
        java.util.Arrays.fill(idleSince, since);
        while (rig.millis() - since < WATCH_MILLIS && !(done[0] && done[1] && done[2])) {
            long now = rig.millis();
            int all = rig.minions.stream().mapToInt(minion -> minion.countRunning("")).sum();
            mostRunning = Math.max(mostRunning, all);
            boolean look = now >= nextLook;
            nextLook = look ? now + 3000 : nextLook;
            for (int i = 0; i < count; i++) {
                String job = IDS.get(i);
                boolean runs = rig.minions.stream().anyMatch(one -> one.countRunning(job) > 0);
                idleSince[i] = runs ? now : idleSince[i];
                if (!done[i] && look) {
                    done[i] = rig.call("GET", path(i), null).state().equals("completed");
                }
                if (!done[i] && now - since > FINISH_MILLIS) {
                    longest[i] = Math.max(longest[i], now - Math.max(idleSince[i], since + FINISH_MILLIS));
                }
            }
            Rig.sleep(20);
        }
        int broken = 0;
        for (int i = 0; i < count; i++) {
            rig.log(
                    path(i)
                            + (done[i] ? " is completed" : " is NOT completed")
                            + "; from finish_s on it had nothing running for "
                            + longest[i]
                            + " ms on end");
            broken += !done[i] && longest[i] >= IDLE_MILLIS ? 1 : 0;
        }
        rig.log(
                "at most "
                        + mostRunning
                        + " tasks of 500 ran at once on "
                        + rig.minions.size()
                        + " minions of 16000");
        rig.log(
                broken > 0
                        ? "BROKEN: a job has nothing running although its turn has come"
                        : "HELD");
        return broken > 0 ? 1 : 0;
    }
}
