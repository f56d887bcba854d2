/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.standlink.Fence;
import org.standlink.StandlinkException;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.WorkFailures;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.runner.WorkerClient;
import org.standlink.wire.StartOrder;

/**
 * The calls of a worker over HTTP.
 *
 * <p>{@code HttpWorkerClient} is thread-safe and immutable.
 */
public final class HttpWorkerClient implements WorkerClient {

    /** How long a call may take, in milliseconds; the worker is beside and answers in about 10. */
    private static final long CALL_MILLIS = 500;

    /** The header that names the worker that a call is meant for, by its id alone. */
    private static final String LIFE_HEADER = "X-Expect-Instance";

    /** The client. */
    private final PlatformHttpClient caller;

    /**
     * Constructor.
     *
     * @param caller the client
     */
    public HttpWorkerClient(PlatformHttpClient caller) {
        this.caller = caller;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long leaseUntil, Fence fence) {
        ObjectNode body = run(order.run(), fence);
        body.put("spec", order.specification());
        body.put("until_ms", leaseUntil);
        if (!order.checkpoint().isEmpty()) {
            body.put("checkpoint", order.checkpoint());
        }
        return call(worker, "/v1/run-start", body);
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence) {
        return call(worker, "/v1/run-stop", run(run, fence));
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence) {
        ObjectNode body = run(run, fence);
        body.put("percent", percent);
        return call(worker, "/v1/pace", body);
    }

    @Override
    public CompletableFuture<RenewalResult> renew(
            WorkerDescription worker,
            long leaseUntil,
            Fence fence,
            long recordedEnd,
            long waitMillis) {
        ObjectNode body = Json.newObject();
        if (leaseUntil >= 0) {
            body.put("until_ms", leaseUntil);
        }
        body.put("fencing_token", fence.toToken());
        // The name means the last end that was recorded, not merely read.
        body.put("last_seen", recordedEnd);
        if (waitMillis > 0) {
            body.put("wait_ms", waitMillis);
        }
        return post(worker, "/v1/hold", body, CALL_MILLIS + waitMillis)
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? renewalResult(worker, response)
                                        : noAnswer(failure))
                // An answer that cannot be read is none: whoever waits must go on asking.
                .exceptionally(HttpWorkerClient::noAnswer);
    }

    // -----------------------------------------------------------------------
    private static ObjectNode run(RunId run, Fence fence) {
        ObjectNode body = Json.newObject();
        body.put("task", run.task().toString());
        body.put("run_id", run.number());
        body.put("fencing_token", fence.toToken());
        return body;
    }

    private CompletableFuture<CallResult> call(
            WorkerDescription worker, String path, ObjectNode body) {
        return post(worker, path, body, CALL_MILLIS)
                .handle(
                        (response, failure) ->
                                failure == null ? result(response) : unknown(failure));
    }

    private CompletableFuture<HttpResponse<byte[]>> post(
            WorkerDescription worker, String path, ObjectNode body, long timeoutMillis) {
        HttpRequest.Builder request =
                caller.newRequest(worker.address(), path, timeoutMillis)
                        .header("Content-Type", "application/json")
                        .header(LIFE_HEADER, worker.incarnation().getId().toString())
                        .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)));
        return caller.send(request);
    }

    private static CallResult unknown(Throwable failure) {
        if (WorkFailures.causeOf(failure) instanceof Error error) {
            // The worker may have heard; that it is this process that fails must not go unseen.
            WorkFailures.note("worker-call", error);
        }
        return new CallResult(
                CallResult.Kind.UNKNOWN, CallResult.NO_CLOCK, String.valueOf(failure.getMessage()));
    }

    private static RenewalResult noAnswer(Throwable failure) {
        return RenewalResult.notDone(unknown(failure));
    }

    private static CallResult result(HttpResponse<byte[]> response) {
        int status = response.statusCode();
        JsonNode body = body(response);
        long clock = body.path("clock_ms").asLong(-1);
        String reason = body.path("reason").asText("");
        return new CallResult(kind(status, reason), clock, status + " " + reason);
    }

    private static JsonNode body(HttpResponse<byte[]> response) {
        try {
            return Json.read(response.body());
        } catch (StandlinkException notJson) {
            // An error page has no clock and no reason; the status says enough.
            return Json.newObject();
        }
    }

    private static CallResult.Kind kind(int status, String reason) {
        return switch (status) {
            case 200 -> CallResult.Kind.DONE;
            case 400 -> CallResult.Kind.INVALID;
            case 421 -> CallResult.Kind.OTHER_LIFE;
            case 429, 503 -> CallResult.Kind.UNWELL;
            case 409 -> conflict(reason);
            default -> CallResult.Kind.UNKNOWN;
        };
    }

    private static CallResult.Kind conflict(String reason) {
        return switch (reason) {
            case "fence" -> CallResult.Kind.FENCED;
            case "old" -> CallResult.Kind.SUPERSEDED;
            case "late" -> CallResult.Kind.LEASE_PAST;
            default -> CallResult.Kind.NO_ROOM;
        };
    }

    private static RenewalResult renewalResult(
            WorkerDescription asked, HttpResponse<byte[]> response) {
        CallResult result = result(response);
        if (result.kind() != CallResult.Kind.DONE) {
            return RenewalResult.notDone(result);
        }
        JsonNode body = body(response);
        WorkerIncarnation life = IncarnationFormat.decodeAnswer(asked.incarnation(), body);
        List<RunProgress> running = new ArrayList<>();
        for (JsonNode row : body.path("running")) {
            running.add(
                    new RunProgress(
                            runId(row.path(0), row.path(1)),
                            row.path(2).asText(""),
                            row.path(3).asInt(),
                            row.path(4).asLong()));
        }
        List<RunEnd> ended = new ArrayList<>();
        for (JsonNode row : body.path("ended")) {
            ended.add(
                    new RunEnd(
                            row.path(0).asLong(),
                            runId(row.path(1), row.path(2)),
                            RunEndKind.valueOf(row.path(3).asText().toUpperCase(Locale.ROOT)),
                            row.path(4).asText("")));
        }
        return new RenewalResult(result, life, running, ended);
    }

    private static RunId runId(JsonNode task, JsonNode number) {
        return new RunId(TaskName.parse(task.asText()), number.asInt());
    }
}
