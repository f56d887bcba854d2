import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A client of one entry. */
final class Caller {

    /** The time budget of a call, in milliseconds. */
    private static final long BUDGET_MILLIS = 3000;

    /** An answer; status 0 stands for none. */
    record Reply(int status, String body) {}

    private final HttpClient client = HttpClient.newHttpClient();

    private final String entryAddress;

    private final Recorder recorder;

    Caller(String entryAddress, Recorder recorder) {
        this.entryAddress = entryAddress;
        this.recorder = recorder;
    }

    Reply submit(String job, String body) {
        return call("POST", job, body);
    }

    Reply query(String job) {
        return call("GET", job, "");
    }

    private Reply call(String method, String job, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + entryAddress + "/q/" + job))
                        .timeout(Duration.ofMillis(BUDGET_MILLIS))
                        .header("Content-Type", "application/json")
                        .header("X-Deadline-Ms", Long.toString(BUDGET_MILLIS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        Reply reply;
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(response.statusCode(), response.body());
        } catch (IOException noAnswer) {
            reply = new Reply(0, noAnswer.toString());
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
        recorder.record(method + " " + job + " " + body + " -> " + reply.status() + " " + reply.body());
        return reply;
    }

    /**
     * Asks for the state of jobs, all at the same time, and for those without an answer again.
     *
     * @return the jobs that were not once answered 200, with their last reply
     */
    Map<String, Reply> findUnanswered(Collection<String> jobs, int rounds) throws Exception {
        Map<String, Reply> unanswered = new LinkedHashMap<>();
        jobs.forEach(job -> unanswered.put(job, null));
        for (int round = 0; round < rounds; round++) {
            Map<String, CompletableFuture<Reply>> replies = new LinkedHashMap<>();
            unanswered.keySet().forEach(job -> replies.put(job, inBackground(() -> query(job))));
            for (Map.Entry<String, CompletableFuture<Reply>> reply : replies.entrySet()) {
                unanswered.put(reply.getKey(), reply.getValue().get());
            }
            unanswered.values().removeIf(reply -> reply.status() == 200);
        }
        return unanswered;
    }

    /** Submits in the background. */
    CompletableFuture<Reply> submitAsync(String job, String body) {
        return inBackground(() -> submit(job, body));
    }

    private static CompletableFuture<Reply> inBackground(Supplier<Reply> call) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> result.complete(call.get()));
        thread.setDaemon(true);
        thread.start();
        return result;
    }
}
