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
 * Client of workers over HTTP.
 *
 * <p>{@code HttpWorkerClient} is thread-safe and immutable.
 */
public final class HttpWorkerClient implements WorkerClient {

    /** The timeout of a call, in milliseconds; a worker on the same machine answers in about 10. */
    private static final long CALL_TIMEOUT_MILLIS = 500;

    /** The header with the id of the addressed worker; it does not contain the start time. */
    private static final String WORKER_ID_HEADER = "X-Expect-Instance";

    private final PlatformHttpClient client;

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     */
    public HttpWorkerClient(PlatformHttpClient client) {
        this.client = client;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long leaseUntil, Fence fence) {
        ObjectNode body = newRunBody(order.run(), fence);
        body.put("spec", order.specification());
        body.put("until_ms", leaseUntil);
        if (!order.checkpoint().isEmpty()) {
            body.put("checkpoint", order.checkpoint());
        }
        return call(worker, "/v1/run-start", body);
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence) {
        return call(worker, "/v1/run-stop", newRunBody(run, fence));
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence) {
        ObjectNode body = newRunBody(run, fence);
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
        // Despite its name, this is the last end that was recorded, not the last one that was read.
        body.put("last_seen", recordedEnd);
        if (waitMillis > 0) {
            body.put("wait_ms", waitMillis);
        }
        return post(worker, "/v1/hold", body, CALL_TIMEOUT_MILLIS + waitMillis)
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? decodeRenewal(worker, response)
                                        : noAnswer(failure))
                // A malformed answer counts as none: without a result, the renewal loop would end.
                .exceptionally(HttpWorkerClient::noAnswer);
    }

    // -----------------------------------------------------------------------
    private static ObjectNode newRunBody(RunId run, Fence fence) {
        ObjectNode body = Json.newObject();
        body.put("task", run.task().toString());
        body.put("run_id", run.number());
        body.put("fencing_token", fence.toToken());
        return body;
    }

    private CompletableFuture<CallResult> call(
            WorkerDescription worker, String path, ObjectNode body) {
        return post(worker, path, body, CALL_TIMEOUT_MILLIS)
                .handle(
                        (response, failure) ->
                                failure == null ? decodeResult(response) : unknownOutcome(failure));
    }

    private CompletableFuture<HttpResponse<byte[]>> post(
            WorkerDescription worker, String path, ObjectNode body, long timeoutMillis) {
        HttpRequest.Builder request =
                client.newRequest(worker.address(), path, timeoutMillis)
                        .header("Content-Type", "application/json")
                        .header(WORKER_ID_HEADER, worker.incarnation().getId().toString());
        return client.post(request, Json.write(body));
    }

    private static CallResult unknownOutcome(Throwable failure) {
        if (WorkFailures.unwrap(failure) instanceof Error error) {
            // The worker may have received the call; the failure of this process is logged.
            WorkFailures.record("worker-call", error);
        }
        return new CallResult(
                CallResult.Kind.UNKNOWN, CallResult.NO_CLOCK, String.valueOf(failure.getMessage()));
    }

    private static RenewalResult noAnswer(Throwable failure) {
        return RenewalResult.notDone(unknownOutcome(failure));
    }

    private static CallResult decodeResult(HttpResponse<byte[]> response) {
        int status = response.statusCode();
        JsonNode body = decodeBody(response);
        long clock = body.path("clock_ms").asLong(-1);
        String reason = body.path("reason").asText("");
        return new CallResult(kindOf(status, reason), clock, status + " " + reason);
    }

    private static JsonNode decodeBody(HttpResponse<byte[]> response) {
        try {
            return Json.read(response.body());
        } catch (StandlinkException notJson) {
            // An error page contains neither clock nor reason; the status is sufficient.
            return Json.newObject();
        }
    }

    private static CallResult.Kind kindOf(int status, String reason) {
        return switch (status) {
            case 200 -> CallResult.Kind.DONE;
            case 400 -> CallResult.Kind.INVALID;
            case 421 -> CallResult.Kind.OTHER_LIFE;
            case 429, 503 -> CallResult.Kind.UNWELL;
            case 409 -> kindOfConflict(reason);
            default -> CallResult.Kind.UNKNOWN;
        };
    }

    private static CallResult.Kind kindOfConflict(String reason) {
        return switch (reason) {
            case "fence" -> CallResult.Kind.FENCED;
            case "old" -> CallResult.Kind.SUPERSEDED;
            case "late" -> CallResult.Kind.LEASE_PAST;
            default -> CallResult.Kind.NO_ROOM;
        };
    }

    private static RenewalResult decodeRenewal(
            WorkerDescription called, HttpResponse<byte[]> response) {
        CallResult result = decodeResult(response);
        if (result.kind() != CallResult.Kind.DONE) {
            return RenewalResult.notDone(result);
        }
        JsonNode body = decodeBody(response);
        WorkerIncarnation incarnation = IncarnationFormat.decodeAnswer(called.incarnation(), body);
        List<RunProgress> running = new ArrayList<>();
        for (JsonNode row : body.path("running")) {
            running.add(
                    new RunProgress(
                            decodeRunId(row.path(0), row.path(1)),
                            row.path(2).asText(""),
                            row.path(3).asInt(),
                            row.path(4).asLong()));
        }
        List<RunEnd> ended = new ArrayList<>();
        for (JsonNode row : body.path("ended")) {
            ended.add(
                    new RunEnd(
                            row.path(0).asLong(),
                            decodeRunId(row.path(1), row.path(2)),
                            RunEndKind.valueOf(row.path(3).asText().toUpperCase(Locale.ROOT)),
                            row.path(4).asText("")));
        }
        return new RenewalResult(result, incarnation, running, ended);
    }

    private static RunId decodeRunId(JsonNode task, JsonNode number) {
        return new RunId(TaskName.parse(task.asText()), number.asInt());
    }
}
