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
 * A bounded load of numbered requests with distinct bodies, each answer of which is checked.
 *
 * <p>{@code RequestLoad} is mutable; use one for each run.
 */
public final class RequestLoad {

    /** How long a request may take. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** The most wrong or unknown answers that are described, so that the report stays short. */
    private static final int MOST_SEEN = 5;

    /** The outcome of a request that did not run. */
    private static final String NOT_RUN = "not-run";

    /** Microseconds in a second. */
    private static final double SECOND_MICROS = 1_000_000;

    /**
     * The entries, taken in turn; one that is not ready or refuses the connection is passed over,
     * as a balancer does.
     */
    private final List<URI> entries;

    /** Where each entry tells whether it takes new connections; empty to use all. */
    private final List<URI> ready;

    /** How many connections to each entry are open and not in use. */
    private final AtomicIntegerArray open;

    /** Chooses entries for new connections. */
    private volatile LoadBalancer balancer;

    /** The HTTP method. */
    private final String method;

    /** The path. */
    private final String path;

    /** Whether each request has a key. */
    private final boolean keys;

    /** The pause after each request, in milliseconds. */
    private final long pauseMillis;

    /** How often a request that did not run is sent again, after the time it was told. */
    private final int retries;

    /** Distinguishes the bodies of this run. */
    private final String run = UUID.randomUUID().toString();

    /** The client. */
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /** The next request. */
    private final AtomicInteger next = new AtomicInteger();

    /** Requests told as not run. */
    private final AtomicInteger notRun = new AtomicInteger();

    /** Requests told as unknown. */
    private final AtomicInteger unknown = new AtomicInteger();

    /** Requests with another answer, or none. */
    private final AtomicInteger wrong = new AtomicInteger();

    /** What the caller saw of the first wrong or unknown ones. */
    private final Queue<String> seen = new ConcurrentLinkedQueue<>();

    /** Latencies of the right ones, in microseconds; -1 for the others. */
    private long[] latencies;

    /**
     * Constructor.
     *
     * @param entries the entries, taken in turn
     * @param ready where each entry tells whether it takes new connections; empty to use all
     * @param method the HTTP method
     * @param path the path
     * @param keys whether each request has a key
     * @param pauseMillis the pause after each request, in milliseconds
     * @param retries how often a request that did not run is sent again
     */
    public RequestLoad(
            List<URI> entries,
            List<URI> ready,
            String method,
            String path,
            boolean keys,
            long pauseMillis,
            int retries) {
        this.entries = List.copyOf(entries);
        this.ready = List.copyOf(ready);
        this.open = new AtomicIntegerArray(entries.size());
        this.method = method;
        this.path = path;
        this.keys = keys;
        this.pauseMillis = pauseMillis;
        this.retries = retries;
    }

    /**
     * Sends the requests.
     *
     * @param requests how many
     * @param concurrency how many at once
     * @return what became of them
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadReport run(int requests, int concurrency) throws InterruptedException {
        latencies = new long[requests];
        Arrays.fill(latencies, -1);
        CountDownLatch done = new CountDownLatch(concurrency);
        ExecutorService threads = ProcessThreads.newCached("load");
        balancer = new LoadBalancer(ready);
        long start = System.nanoTime();
        for (int i = 0; i < concurrency; i++) {
            threads.execute(() -> sendAll(requests, done));
        }
        done.await();
        double micros = (System.nanoTime() - start) / 1000.0;
        threads.shutdown();
        balancer.close();
        long[] right = Arrays.stream(latencies).filter(one -> one >= 0).sorted().toArray();
        return new LoadReport(
                requests,
                right.length,
                notRun.get(),
                unknown.get(),
                wrong.get(),
                List.copyOf(seen),
                percentile(right, 0.5),
                percentile(right, 0.99),
                right.length * SECOND_MICROS / micros);
    }

    private static long percentile(long[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.floor((sorted.length - 1) * share)];
    }

    private void sendAll(int requests, CountDownLatch done) {
        try {
            int number = next.getAndIncrement();
            while (number < requests) {
                send(number);
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
                number = next.getAndIncrement();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            done.countDown();
        }
    }

    private void send(int number) throws InterruptedException {
        String name = run + "/" + number;
        String body = "body of " + name;
        for (int i = 0; i < entries.size(); i++) {
            int entry = (number + i) % entries.size();
            boolean used = takeOpen(entry) || balancer.isInRotation(entry);
            if (used && sendTo(entry, number, name, body)) {
                return;
            }
        }
        countWrong(number, "no entry takes connections");
    }

    /** Takes an open connection to an entry, if there is one; it stays with its entry. */
    private boolean takeOpen(int entry) {
        int before = open.getAndUpdate(entry, count -> Math.max(0, count - 1));
        return before > 0;
    }

    private void countWrong(int number, String reason) {
        wrong.incrementAndGet();
        describe(number, reason);
    }

    private void describe(int number, String reason) {
        if (seen.size() < MOST_SEEN) {
            seen.add("request " + number + ": " + reason);
        }
    }

    /** Sends a request; false if the entry refused the connection, so that the next is tried. */
    private boolean sendTo(int entry, int number, String name, String body)
            throws InterruptedException {
        URI uri = entries.get(entry).resolve(path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .header(UpstreamServer.REQUEST_NUMBER_HEADER, name)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (keys) {
            request.header("Idempotency-Key", name);
        }
        long start = System.nanoTime();
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            for (int i = 0; i < retries && outcomeOf(response).equals(NOT_RUN); i++) {
                long seconds = response.headers().firstValueAsLong("Retry-After").orElse(1);
                TimeUnit.SECONDS.sleep(seconds);
                response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            }
            if (!response.headers().firstValue("Connection").orElse("").equals("close")) {
                open.incrementAndGet(entry);
            }
            long micros = (System.nanoTime() - start) / 1000;
            judge(number, response, method + " " + uri.getPath() + "\n" + body, micros);
        } catch (ConnectException refused) {
            return false;
        } catch (IOException cut) {
            long millis = (System.nanoTime() - start) / 1_000_000;
            countWrong(number, uri + " after " + millis + " ms: " + cut);
        }
        return true;
    }

    private void judge(int number, HttpResponse<String> response, String expected, long micros) {
        String outcome = outcomeOf(response);
        if (outcome.equals(NOT_RUN)) {
            notRun.incrementAndGet();
        } else if (outcome.equals("unknown")) {
            unknown.incrementAndGet();
            describe(number, "unknown: " + response.body().trim());
        } else if (response.body().equals(expected)) {
            latencies[number] = micros;
        } else {
            countWrong(number, "status " + response.statusCode() + ", body " + response.body());
        }
    }

    private static String outcomeOf(HttpResponse<String> response) {
        return response.headers().firstValue("Standlink-Outcome").orElse("answered");
    }
}
