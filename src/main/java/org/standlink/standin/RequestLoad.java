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
package org.standlink.standin;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.standlink.process.ProcessThreads;

/**
 * A bounded load of numbered requests with distinct bodies. Each answer is checked against its
 * request.
 *
 * <p>{@code RequestLoad} is mutable; use one instance for each run.
 */
public final class RequestLoad {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    /**
     * The maximum number of incorrect or unknown answers that are described, so that the report
     * stays short.
     */
    private static final int MAX_FAILURE_DETAILS = 5;

    /** The outcome of a request that was not run. */
    private static final String NOT_RUN = "not-run";

    private static final double MICROS_PER_SECOND = 1_000_000;

    /**
     * The entries, used in turn. An entry that is not ready or refuses the connection is skipped,
     * as a load balancer does.
     */
    private final List<URI> entries;

    /** The readiness address of each entry; empty to use all entries always. */
    private final List<URI> readinessUris;

    /** The number of open connections to each entry that are not in use. */
    private final AtomicIntegerArray idleConnections;

    /** Selects entries for new connections. */
    private volatile LoadBalancer balancer;

    private final String method;

    private final String path;

    /** Whether each request has an idempotency key. */
    private final boolean idempotencyKeys;

    /** The pause after each request, in milliseconds. */
    private final long pauseMillis;

    /**
     * The maximum number of times that a request that was not run is sent again, after the time
     * given in its answer.
     */
    private final int maxRetries;

    /** Distinguishes the bodies of this run from those of other runs. */
    private final String runId = UUID.randomUUID().toString();

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    private final AtomicInteger nextNumber = new AtomicInteger();

    /** The number of requests reported as not run. */
    private final AtomicInteger notRun = new AtomicInteger();

    /** The number of requests whose outcome was reported as unknown. */
    private final AtomicInteger unknown = new AtomicInteger();

    /** The number of requests with another answer, or none. */
    private final AtomicInteger incorrect = new AtomicInteger();

    /** Details of the first incorrect or unknown answers. */
    private final Queue<String> failureDetails = new ConcurrentLinkedQueue<>();

    /** The latencies of the correct answers, in microseconds; -1 for other requests. */
    private long[] latencies;

    /**
     * Creates a load.
     *
     * @param entries the entries, used in turn
     * @param readinessUris the readiness address of each entry; empty to use all entries always
     * @param method the HTTP method
     * @param path the path
     * @param idempotencyKeys whether each request has an idempotency key
     * @param pauseMillis the pause after each request, in milliseconds
     * @param maxRetries the maximum number of times that a request that was not run is sent again
     */
    public RequestLoad(
            List<URI> entries,
            List<URI> readinessUris,
            String method,
            String path,
            boolean idempotencyKeys,
            long pauseMillis,
            int maxRetries) {
        this.entries = List.copyOf(entries);
        this.readinessUris = List.copyOf(readinessUris);
        this.idleConnections = new AtomicIntegerArray(entries.size());
        this.method = method;
        this.path = path;
        this.idempotencyKeys = idempotencyKeys;
        this.pauseMillis = pauseMillis;
        this.maxRetries = maxRetries;
    }

    /**
     * Sends the requests.
     *
     * @param requests the number of requests
     * @param concurrency the maximum number of requests in progress
     * @return the outcomes of the requests
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadReport run(int requests, int concurrency) throws InterruptedException {
        latencies = new long[requests];
        Arrays.fill(latencies, -1);
        CountDownLatch finished = new CountDownLatch(concurrency);
        ExecutorService threads = ProcessThreads.newCached("load");
        balancer = new LoadBalancer(readinessUris);
        long start = System.nanoTime();
        for (int i = 0; i < concurrency; i++) {
            threads.execute(() -> sendAll(requests, finished));
        }
        finished.await();
        double micros = (System.nanoTime() - start) / 1000.0;
        threads.shutdown();
        balancer.close();
        long[] correct =
                Arrays.stream(latencies).filter(latency -> latency >= 0).sorted().toArray();
        return new LoadReport(
                requests,
                correct.length,
                notRun.get(),
                unknown.get(),
                incorrect.get(),
                List.copyOf(failureDetails),
                percentile(correct, 0.5),
                percentile(correct, 0.99),
                correct.length * MICROS_PER_SECOND / micros);
    }

    private static long percentile(long[] sorted, double quantile) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.floor((sorted.length - 1) * quantile)];
    }

    private void sendAll(int requests, CountDownLatch finished) {
        try {
            int number = nextNumber.getAndIncrement();
            while (number < requests) {
                send(number);
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
                number = nextNumber.getAndIncrement();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            finished.countDown();
        }
    }

    private void send(int number) throws InterruptedException {
        String requestName = runId + "/" + number;
        String body = "body of " + requestName;
        for (int i = 0; i < entries.size(); i++) {
            int entry = (number + i) % entries.size();
            boolean selected = takeIdleConnection(entry) || balancer.isInRotation(entry);
            if (selected && sendTo(entry, number, requestName, body)) {
                return;
            }
        }
        countIncorrect(number, "no entry accepts connections");
    }

    /**
     * Takes an idle connection to an entry, if there is one; a connection always belongs to one
     * entry.
     */
    private boolean takeIdleConnection(int entry) {
        int before = idleConnections.getAndUpdate(entry, count -> Math.max(0, count - 1));
        return before > 0;
    }

    private void countIncorrect(int number, String reason) {
        incorrect.incrementAndGet();
        addFailureDetail(number, reason);
    }

    private void addFailureDetail(int number, String reason) {
        if (failureDetails.size() < MAX_FAILURE_DETAILS) {
            failureDetails.add("request " + number + ": " + reason);
        }
    }

    /**
     * Sends a request; returns false if the entry refused the connection, so that the next entry is
     * tried.
     */
    private boolean sendTo(int entry, int number, String requestName, String body)
            throws InterruptedException {
        URI uri = entries.get(entry).resolve(path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri)
                        .timeout(REQUEST_TIMEOUT)
                        .header(UpstreamServer.REQUEST_NUMBER_HEADER, requestName)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (idempotencyKeys) {
            request.header("Idempotency-Key", requestName);
        }
        long start = System.nanoTime();
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            for (int i = 0; i < maxRetries && outcomeOf(response).equals(NOT_RUN); i++) {
                long seconds = response.headers().firstValueAsLong("Retry-After").orElse(1);
                TimeUnit.SECONDS.sleep(seconds);
                response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            }
            if (!response.headers().firstValue("Connection").orElse("").equals("close")) {
                idleConnections.incrementAndGet(entry);
            }
            long micros = (System.nanoTime() - start) / 1000;
            recordOutcome(number, response, method + " " + uri.getPath() + "\n" + body, micros);
        } catch (ConnectException refused) {
            return false;
        } catch (IOException exception) {
            long millis = (System.nanoTime() - start) / 1_000_000;
            countIncorrect(number, uri + " after " + millis + " ms: " + exception);
        }
        return true;
    }

    private void recordOutcome(
            int number, HttpResponse<String> response, String expected, long micros) {
        String outcome = outcomeOf(response);
        if (outcome.equals(NOT_RUN)) {
            notRun.incrementAndGet();
        } else if (outcome.equals("unknown")) {
            unknown.incrementAndGet();
            addFailureDetail(number, "unknown: " + response.body().trim());
        } else if (response.body().equals(expected)) {
            latencies[number] = micros;
        } else {
            countIncorrect(number, "status " + response.statusCode() + ", body " + response.body());
        }
    }

    private static String outcomeOf(HttpResponse<String> response) {
        return response.headers().firstValue("Standlink-Outcome").orElse("answered");
    }
}
