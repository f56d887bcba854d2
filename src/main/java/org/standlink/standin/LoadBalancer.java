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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.standlink.process.ProcessThreads;

/**
 * Selects entries for new connections as the platform's load balancer does: it probes the readiness
 * of each entry once a second, and skips an entry after the second failed probe until it is ready
 * again.
 *
 * <p>{@code LoadBalancer} is thread-safe.
 */
final class LoadBalancer implements AutoCloseable {

    /** The interval between two probes, and the timeout of a probe, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 1000;

    /** The number of consecutive failed probes after which an entry gets no new connections. */
    private static final int FAILURE_THRESHOLD = 2;

    /** The readiness address of each entry; empty if entries are not probed. */
    private final List<URI> readinessUris;

    /** The number of consecutive failed probes of each entry. */
    private final AtomicIntegerArray failedProbes;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .connectTimeout(Duration.ofMillis(PROBE_INTERVAL_MILLIS))
                    .build();

    private final ScheduledExecutorService timer = ProcessThreads.newScheduled("balancer", 1);

    /**
     * Creates a load balancer and starts to probe.
     *
     * @param readinessUris the readiness address of each entry; empty to use all entries always
     */
    LoadBalancer(List<URI> readinessUris) {
        this.readinessUris = List.copyOf(readinessUris);
        this.failedProbes = new AtomicIntegerArray(readinessUris.size());
        if (!readinessUris.isEmpty()) {
            timer.scheduleAtFixedRate(this::probe, 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Checks whether an entry gets new connections.
     *
     * @param entry the index of the entry
     * @return true if it does
     */
    boolean isInRotation(int entry) {
        return readinessUris.isEmpty() || failedProbes.get(entry) < FAILURE_THRESHOLD;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    // -----------------------------------------------------------------------
    private void probe() {
        for (int i = 0; i < readinessUris.size(); i++) {
            failedProbes.set(i, isReady(readinessUris.get(i)) ? 0 : failedProbes.get(i) + 1);
        }
    }

    private boolean isReady(URI uri) {
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofMillis(PROBE_INTERVAL_MILLIS))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException unreachable) {
            // A missing answer counts as not ready, as on the platform.
            return false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
