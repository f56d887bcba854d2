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

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.standlink.JobId;

/**
 * A stand-in for what calls entries and agents on the platform: callers, the balancer and a
 * worker's heartbeats. It waits for each answer and gives its status.
 *
 * <p>{@code StandInCaller} is thread-safe and immutable.
 */
public final class StandInCaller {

    /** How long a call may take, in milliseconds. */
    private static final long CALL_MILLIS = 2000;

    /** The status of a call without an answer. */
    private static final int NO_ANSWER = 0;

    /** The configuration: one queue. */
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q/\","
                    + "\"service\":\"s\",\"priority\":1,\"max_attempts\":3,"
                    + "\"target_latency_ms\":1000,\"stretch\":2.0}],"
                    + "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
                    + "\"limits\":{\"max_body_bytes\":262144}}";

    /** A job of two steps, of best-effort work and of other work. */
    private static final String BATCH =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"estimated_ms\":400,\"checkpointing\":true,\"fills\":true,\"image\":\"b\"},"
                    + "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":400,"
                    + "\"after\":[0],\"anti_affinity\":2,\"colocate\":\"r1\"}]}";

    /** A job that lasts until it is cancelled. */
    private static final String LASTING =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"perpetual\":true,\"image\":\"a\",\"target_ms\":50}]}";

    /** The client. */
    private final HttpClient client = HttpClient.newHttpClient();

    /** Where the entry takes callers, host and port. */
    private final String callers;

    /**
     * Constructor.
     *
     * @param callers where the entry takes callers, host and port
     */
    public StandInCaller(String callers) {
        this.callers = callers;
    }

    /**
     * Publishes a configuration of one queue, which this caller uses.
     *
     * @param store where to publish it
     */
    public static void publishConfiguration(StandInStore store) {
        store.publishConfiguration(CONFIGURATION);
    }

    // -----------------------------------------------------------------------
    /**
     * Submits a job of two steps that ends.
     *
     * @param job its identifier
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitBatch(JobId job) throws InterruptedException {
        return call("POST", callers, "/q/" + job, BATCH);
    }

    /**
     * Submits a job that lasts until it is cancelled.
     *
     * @param job its identifier
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitLongRunning(JobId job) throws InterruptedException {
        return call("POST", callers, "/q/" + job, LASTING);
    }

    /**
     * Submits a job to a queue that does not exist.
     *
     * @param job its identifier
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitToUnknownQueue(JobId job) throws InterruptedException {
        return call("POST", callers, "/none/" + job, LASTING);
    }

    /**
     * Asks for the state of a job.
     *
     * @param job its identifier
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryState(JobId job) throws InterruptedException {
        return get(callers, "/q/" + job);
    }

    /**
     * Asks how many jobs of the queue have not begun.
     *
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryCount() throws InterruptedException {
        return get(callers, "/q/");
    }

    /**
     * Cancels a job.
     *
     * @param job its identifier
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int cancel(JobId job) throws InterruptedException {
        return call("DELETE", callers, "/q/" + job, "");
    }

    /**
     * Asks as the balancer does.
     *
     * @param ready where the entry tells whether it is ready, host and port
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryReadiness(String ready) throws InterruptedException {
        return get(ready, "/v1/ready");
    }

    /**
     * Sends a heartbeat of a worker.
     *
     * @param heartbeats where the agent takes it, host and port
     * @param worker the worker
     * @param sequence the number of the heartbeat
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int sendHeartbeat(String heartbeats, StandInWorker worker, long sequence)
            throws InterruptedException {
        return call("PUT", heartbeats, "/v1/instances/i-1", worker.createHeartbeat("s", sequence));
    }

    /**
     * Gets a page.
     *
     * @param address host and port
     * @param path the path
     * @return the status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int get(String address, String path) throws InterruptedException {
        return call("GET", address, path, "");
    }

    private int call(String method, String address, String path, String body)
            throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(CALL_MILLIS))
                        .header("Content-Type", "application/json")
                        .header("X-Deadline-Ms", Long.toString(CALL_MILLIS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException notYet) {
            // It does not listen yet; the caller tries again.
            return NO_ANSWER;
        }
    }
}
