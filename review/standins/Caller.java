import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

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

    /** Submits in the background. */
    CompletableFuture<Reply> submitAsync(String job, String body) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> result.complete(submit(job, body)));
        thread.setDaemon(true);
        thread.start();
        return result;
    }
}
