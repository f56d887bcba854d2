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
package org.standlink.entry;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.TeamId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.bundle.TeamSpecification;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.ConcurrencyLimiter;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.HttpPendingArrivals;
import org.standlink.process.HttpService;
import org.standlink.process.RequestBody;

/**
 * Receives the requests of callers over HTTP, limits their concurrency per class and team, and
 * answers a request at once when no further attempt is made.
 *
 * <p>{@code CallerServer} is thread-safe.
 */
public final class CallerServer implements AutoCloseable {

    /** The response header for the outcome of a request. */
    public static final String OUTCOME_HEADER = "Standlink-Outcome";

    /** The response header for the upstream that answered. */
    public static final String UPSTREAM_HEADER = "Standlink-Upstream";

    /** The request header for the caller's team. */
    public static final String TEAM_HEADER = "Standlink-Team";

    /** The request header for the time that the caller waits, in milliseconds. */
    public static final String WAIT_HEADER = "Standlink-Wait-Millis";

    /** The request header for the caller's idempotency key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** The team of callers that do not name one. */
    private static final TeamId NO_TEAM = TeamId.parse("none");

    /** The concurrency limit of a team that the bundle does not name. */
    private static final int UNKNOWN_TEAM_CONCURRENCY = 64;

    /** The maximum length of a request body, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** The HTTP status of a request whose body is too long. */
    private static final int PAYLOAD_TOO_LARGE = 413;

    /** The maximum of the wait header, in milliseconds: one hour. */
    private static final long MAX_WAIT_MILLIS = 3_600_000;

    /** The HTTP status of an invalid request. */
    private static final int BAD_REQUEST = 400;

    /** The retry time reported when a limit is reached, in milliseconds. */
    private static final long LIMIT_RETRY_MILLIS = 1000;

    private final HttpServer server;
    private final RequestRouter router;

    /** Holds the bundle in force. */
    private final BundleHolder holder;

    /** Limits the concurrency of classes and teams. */
    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

    private final MonotonicClock clock;
    private final MeterRegistry registry;

    /** Determines when the server can be closed without interrupting a request. */
    private final ConnectionDrain drain;

    /** The requests that have reached the server. */
    private final HttpPendingArrivals arrivals;

    /**
     * Creates a server and starts to accept requests.
     *
     * @param address the address to listen on
     * @param executor runs the handling of requests
     * @param router routes requests
     * @param holder holds the bundle in force
     * @param clock the clock
     * @param registry the registry for metrics
     */
    public CallerServer(
            InetSocketAddress address,
            Executor executor,
            RequestRouter router,
            BundleHolder holder,
            MonotonicClock clock,
            MeterRegistry registry) {
        this.router = router;
        this.holder = holder;
        this.clock = clock;
        this.registry = registry;
        this.drain = new ConnectionDrain(clock);
        server = HttpService.newServer(address, executor);
        arrivals = HttpPendingArrivals.monitor(server, executor);
        // If handling a request fails, whether it ran is unknown, so the status is 504.
        HttpService.serve(server, "/", 504, drain, arrivals, this::handle);
        server.start();
    }

    /**
     * Gets the port on which the server listens.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    /** Asks callers from now on to close their connections and connect to another entry. */
    public void leave() {
        drain.leave();
    }

    /**
     * Gets the number of requests in progress.
     *
     * @return the number
     */
    public int getInProgress() {
        return drain.getInProgress();
    }

    /**
     * Waits until the server can be closed without interrupting a request, or until the time is
     * nearly over.
     *
     * @param graceMillis how long the planned stop may take, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitEnd(long graceMillis) throws InterruptedException {
        drain.awaitDrained(graceMillis, TimeUnit.MILLISECONDS::sleep, arrivals, () -> {});
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        long startNanos = System.nanoTime();
        Optional<byte[]> body = RequestBody.read(exchange, MAX_BODY_BYTES);
        RoutedAnswer answer =
                body.isEmpty()
                        ? rejectTooLongBody(exchange)
                        : answer(exchange, body.orElseThrow(), startNanos);
        write(exchange, answer);
    }

    private RoutedAnswer answer(HttpExchange exchange, byte[] body, long startNanos) {
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return RoutedAnswer.ofNotRun("the entry has no bundle yet", 0);
        }
        CallerRequest request;
        try {
            request = parseRequest(exchange, body);
        } catch (StandlinkException invalid) {
            return createRejection(BAD_REQUEST, invalid.getMessage());
        }
        Optional<MatchedRequest> matched = MatchedRequest.match(request, bundle);
        if (matched.isEmpty()) {
            return RoutedAnswer.ofNoService("no service matches the path " + request.path());
        }
        RoutedAnswer answer = routeWithinLimits(matched.get(), bundle);
        recordMetrics(matched.get(), bundle, answer, startNanos);
        return answer;
    }

    /** Closes the connection, since the unread rest of the body would be read as a request. */
    private static RoutedAnswer rejectTooLongBody(HttpExchange exchange) {
        exchange.getResponseHeaders().set("Connection", "close");
        return createRejection(
                PAYLOAD_TOO_LARGE, "the body is longer than " + MAX_BODY_BYTES + " bytes");
    }

    private static RoutedAnswer createRejection(int status, String reason) {
        RoutedAnswer notRun = RoutedAnswer.ofNoService(reason);
        return new RoutedAnswer(
                notRun.outcome(), status, notRun.headers(), notRun.body(), reason, 0, null);
    }

    /**
     * Parses the wait header.
     *
     * @param header the value of the header, null if absent
     * @return how long the caller waits, in milliseconds, 0 if the header is absent
     * @throws StandlinkException with code INVALID_MESSAGE if the value is malformed or out of
     *     range
     */
    static long parseWaitMillis(String header) {
        if (header == null) {
            return 0;
        }
        long millis = -1;
        try {
            millis = Long.parseLong(header.trim());
        } catch (NumberFormatException malformed) {
            // The value stays out of range and is rejected below.
        }
        if (millis < 1 || millis > MAX_WAIT_MILLIS) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    WAIT_HEADER + " is '" + header + "'",
                    "write whole milliseconds, 1 to " + MAX_WAIT_MILLIS);
        }
        return millis;
    }

    private static CallerRequest parseRequest(HttpExchange exchange, byte[] body) {
        Headers headers = exchange.getRequestHeaders();
        Map<String, String> requestHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> requestHeaders.put(name, String.join(", ", values)));
        String team = headers.getFirst(TEAM_HEADER);
        return new CallerRequest(
                exchange.getRequestMethod(),
                exchange.getRequestURI().toString(),
                exchange.getRequestURI().getPath(),
                team == null ? NO_TEAM : TeamId.parse(team),
                headers.getFirst(KEY_HEADER),
                parseWaitMillis(headers.getFirst(WAIT_HEADER)),
                requestHeaders,
                body);
    }

    private RoutedAnswer routeWithinLimits(MatchedRequest matched, Bundle bundle) {
        Object classKey = matched.requestClass().id();
        Object teamKey = matched.request().team();
        if (!limiter.tryAcquire(classKey, matched.requestClass().concurrency())) {
            return refuse(matched, "the class is at its limit");
        }
        try {
            int teamLimit =
                    bundle.findTeam(matched.request().team())
                            .map(TeamSpecification::concurrency)
                            .orElse(UNKNOWN_TEAM_CONCURRENCY);
            if (!limiter.tryAcquire(teamKey, teamLimit)) {
                return refuse(matched, "the team is at its limit");
            }
            try {
                return router.route(matched, bundle, computeDeadline(matched));
            } finally {
                limiter.release(teamKey);
            }
        } finally {
            limiter.release(classKey);
        }
    }

    private RoutedAnswer refuse(MatchedRequest matched, String reason) {
        registry.counter("standlink.entry.refused", "class", matched.requestClass().id().toString())
                .increment();
        return RoutedAnswer.ofNotRun(reason, LIMIT_RETRY_MILLIS);
    }

    private long computeDeadline(MatchedRequest matched) {
        long maxMillis = matched.requestClass().deadlineMillis();
        long requestedMillis = matched.request().waitMillis();
        return clock.nowMillis()
                + (requestedMillis == 0 ? maxMillis : Math.min(maxMillis, requestedMillis));
    }

    private void recordMetrics(
            MatchedRequest matched, Bundle bundle, RoutedAnswer answer, long startNanos) {
        TeamId team = matched.request().team();
        String teamTag = bundle.findTeam(team).isPresent() ? team.toString() : "other";
        Timer.builder("standlink.entry.requests")
                .tag("service", matched.service().id().toString())
                .tag("class", matched.requestClass().id().toString())
                .tag("team", teamTag)
                .tag("outcome", answer.outcome().toString())
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofSeconds(30))
                .register(registry)
                .record(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
    }

    private void write(HttpExchange exchange, RoutedAnswer answer) throws IOException {
        Headers headers = exchange.getResponseHeaders();
        answer.headers().forEach(headers::set);
        headers.set(OUTCOME_HEADER, answer.outcome().toString());
        if (answer.upstream() != null) {
            headers.set(UPSTREAM_HEADER, answer.upstream().toString());
        }
        if (answer.retryAfterMillis() > 0) {
            long seconds = (answer.retryAfterMillis() + 999) / 1000;
            headers.set("Retry-After", Long.toString(seconds));
        }
        if (drain.closeIfLeaving(exchange.getRemoteAddress())) {
            headers.set("Connection", "close");
        }
        byte[] body = answer.body();
        if (!answer.reason().isEmpty()) {
            headers.set("Content-Type", "text/plain; charset=utf-8");
            body = (answer.reason() + "\n").getBytes(StandardCharsets.UTF_8);
        }
        boolean withoutBody = body.length == 0 || exchange.getRequestMethod().equals("HEAD");
        exchange.sendResponseHeaders(answer.status(), withoutBody ? -1 : body.length);
        if (!withoutBody) {
            exchange.getResponseBody().write(body);
        }
    }
}
