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
package org.standlink.admin;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.standlink.process.HttpService;

/**
 * The HTTP paths for liveness, readiness and metrics.
 *
 * <p>{@code HealthApi} is thread-safe and immutable.
 */
public final class HealthApi {

    /** The content type of the Prometheus text format. */
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    private HealthApi() {}

    /**
     * Adds the paths to an HTTP service.
     *
     * @param service the service
     * @param scrape returns the metrics in the Prometheus text format
     * @param ready returns whether the process accepts work
     */
    public static void addTo(HttpService service, Supplier<String> scrape, BooleanSupplier ready) {
        service.addHandler(
                "GET", "/health/live", request -> HttpService.Answer.ofText(200, "live"));
        service.addHandler(
                "GET",
                "/health/ready",
                request ->
                        ready.getAsBoolean()
                                ? HttpService.Answer.ofText(200, "ready")
                                : HttpService.Answer.ofText(503, "not ready"));
        service.addHandler(
                "GET",
                "/metrics",
                request ->
                        new HttpService.Answer(
                                200, PROMETHEUS, scrape.get().getBytes(StandardCharsets.UTF_8)));
    }
}
