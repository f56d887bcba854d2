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
 * Chooses entries for new connections as the platform's balancer does: it asks each entry once a
 * second whether it is ready, and passes it over after the second miss until it is ready again.
 *
 * <p>{@code LoadBalancer} is thread-safe.
 */
final class LoadBalancer implements AutoCloseable {

    /** The time between two questions, in milliseconds. */
    private static final long PROBE_MILLIS = 1000;

    /** After how many misses an entry gets no new connections. */
    private static final int MOST_MISSES = 2;

    /** Where each entry tells whether it is ready; empty if nobody asks. */
    private final List<URI> ready;

    /** How often in a row each entry was not ready. */
    private final AtomicIntegerArray misses;

    /** The client. */
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(PROBE_MILLIS)).build();

    /** The timer. */
    private final ScheduledExecutorService timer = ProcessThreads.newScheduled("balancer", 1);

    /**
     * Constructor, which starts to ask.
     *
     * @param ready where each entry tells whether it is ready; empty to use all entries always
     */
    LoadBalancer(List<URI> ready) {
        this.ready = List.copyOf(ready);
        this.misses = new AtomicIntegerArray(ready.size());
        if (!ready.isEmpty()) {
            timer.scheduleAtFixedRate(this::probe, 0, PROBE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Checks whether an entry gets new connections.
     *
     * @param entry the number of the entry
     * @return true if so
     */
    boolean isInRotation(int entry) {
        return ready.isEmpty() || misses.get(entry) < MOST_MISSES;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    // -----------------------------------------------------------------------
    private void probe() {
        for (int i = 0; i < ready.size(); i++) {
            misses.set(i, isReady(ready.get(i)) ? 0 : misses.get(i) + 1);
        }
    }

    private boolean isReady(URI uri) {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(PROBE_MILLIS)).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException away) {
            // No answer counts as not ready, as it does on the platform.
            return false;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
