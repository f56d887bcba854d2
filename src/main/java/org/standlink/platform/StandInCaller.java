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
 * Stand-in for the clients of entries and agents on the platform: callers, the load balancer and
 * workers that send heartbeats. Each method waits for the answer and returns its status.
 *
 * <p>{@code StandInCaller} is thread-safe and immutable.
 */
public final class StandInCaller {

    /** The timeout of a call, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 2000;

    /** The status returned for a call without an answer. */
    private static final int NO_ANSWER = 0;

    /** A configuration with one queue. */
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q/\","
                    + "\"service\":\"s\",\"priority\":1,\"max_attempts\":3,"
                    + "\"target_latency_ms\":1000,\"stretch\":2.0}],"
                    + "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
                    + "\"limits\":{\"max_body_bytes\":262144}}";

    /** A job with two steps, one of best-effort work and one of ordinary work. */
    private static final String BATCH_JOB =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"estimated_ms\":400,\"checkpointing\":true,\"fills\":true,\"image\":\"b\"},"
                    + "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":400,"
                    + "\"after\":[0],\"anti_affinity\":2,\"colocate\":\"r1\"}]}";

    /** A job that runs until it is cancelled. */
    private static final String LONG_RUNNING_JOB =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"perpetual\":true,\"image\":\"a\",\"target_ms\":50}]}";

    private final HttpClient client = HttpClient.newHttpClient();

    /** The host and port on which the entry serves callers. */
    private final String entryAddress;

    /**
     * Creates a caller.
     *
     * @param entryAddress the host and port on which the entry serves callers
     */
    public StandInCaller(String entryAddress) {
        this.entryAddress = entryAddress;
    }

    /**
     * Publishes a configuration with the queue that this caller uses.
     *
     * @param store the store
     */
    public static void publishConfiguration(StandInStore store) {
        store.publishConfiguration(CONFIGURATION);
    }

    // -----------------------------------------------------------------------
    /**
     * Submits a job with two steps, which ends by itself.
     *
     * @param job its identifier
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitBatch(JobId job) throws InterruptedException {
        return call("POST", entryAddress, "/q/" + job, BATCH_JOB);
    }

    /**
     * Submits a job that runs until it is cancelled.
     *
     * @param job its identifier
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitLongRunning(JobId job) throws InterruptedException {
        return call("POST", entryAddress, "/q/" + job, LONG_RUNNING_JOB);
    }

    /**
     * Submits a job to a queue that does not exist.
     *
     * @param job its identifier
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int submitToUnknownQueue(JobId job) throws InterruptedException {
        return call("POST", entryAddress, "/none/" + job, LONG_RUNNING_JOB);
    }

    /**
     * Queries the state of a job.
     *
     * @param job its identifier
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryState(JobId job) throws InterruptedException {
        return get(entryAddress, "/q/" + job);
    }

    /**
     * Queries the number of jobs of the queue that have not started.
     *
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryCount() throws InterruptedException {
        return get(entryAddress, "/q/");
    }

    /**
     * Cancels a job.
     *
     * @param job its identifier
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int cancel(JobId job) throws InterruptedException {
        return call("DELETE", entryAddress, "/q/" + job, "");
    }

    /**
     * Queries the readiness of an entry, as the load balancer does.
     *
     * @param readinessAddress the host and port on which the entry reports its readiness
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int queryReadiness(String readinessAddress) throws InterruptedException {
        return get(readinessAddress, "/v1/ready");
    }

    /**
     * Sends a heartbeat of a worker.
     *
     * @param heartbeatAddress the host and port on which the agent receives heartbeats
     * @param worker the worker
     * @param sequence the sequence number of the heartbeat
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int sendHeartbeat(String heartbeatAddress, StandInWorker worker, long sequence)
            throws InterruptedException {
        return call(
                "PUT",
                heartbeatAddress,
                "/v1/instances/i-1",
                worker.createHeartbeat("s", sequence));
    }

    /**
     * Sends a GET request.
     *
     * @param address the host and port
     * @param path the path
     * @return the HTTP status, 0 without an answer
     * @throws InterruptedException if the thread is interrupted
     */
    public int get(String address, String path) throws InterruptedException {
        return call("GET", address, path, "");
    }

    private int call(String method, String address, String path, String body)
            throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(CALL_TIMEOUT_MILLIS))
                        .header("Content-Type", "application/json")
                        .header("X-Deadline-Ms", Long.toString(CALL_TIMEOUT_MILLIS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException unreachable) {
            // The process does not listen yet; callers of this method retry.
            return NO_ANSWER;
        }
    }
}
