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
import org.standlink.process.HttpArrivals;
import org.standlink.process.HttpService;
import org.standlink.process.RequestBody;

/**
 * Takes callers' requests over HTTP, limits them per class and team, and answers each at once when
 * it is given up.
 *
 * <p>{@code CallerServer} is thread-safe.
 */
public final class CallerServer implements AutoCloseable {

    /** The header that tells the outcome. */
    public static final String OUTCOME_HEADER = "Standlink-Outcome";

    /** The header that tells which upstream answered. */
    public static final String UPSTREAM_HEADER = "Standlink-Upstream";

    /** The header that names the caller's team. */
    public static final String TEAM_HEADER = "Standlink-Team";

    /** The header that tells how long the caller waits, in milliseconds. */
    public static final String WAIT_HEADER = "Standlink-Wait-Millis";

    /** The header of the caller's key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** The team of callers that name none. */
    private static final TeamId NO_TEAM = TeamId.parse("none");

    /** The most requests in progress of a team that the bundle does not name. */
    private static final int UNKNOWN_TEAM_CONCURRENCY = 64;

    /** The longest body taken, in bytes. */
    private static final int MOST_BODY_BYTES = 8 * 1024 * 1024;

    /** The HTTP status of a request with too long a body. */
    private static final int TOO_LONG = 413;

    /** The longest that a caller may say it waits, in milliseconds: an hour. */
    private static final long MOST_WAIT_MILLIS = 3_600_000;

    /** The HTTP status of a wrong request. */
    private static final int BAD_REQUEST = 400;

    /** When to come back after a limit was reached, in milliseconds. */
    private static final long LIMIT_RETRY_MILLIS = 1000;

    /** The server. */
    private final HttpServer server;

    /** Routes requests. */
    private final RequestRouter router;

    /** The bundle in force. */
    private final BundleHolder holder;

    /** Limits classes and teams. */
    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

    /** The clock. */
    private final MonotonicClock clock;

    /** Where histograms go. */
    private final MeterRegistry registry;

    /** Tells when a planned stop cuts nobody. */
    private final ConnectionDrain drain;

    /** Tells which requests have reached the server. */
    private final HttpArrivals arrivals;

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @param router routes requests
     * @param holder the bundle in force
     * @param clock the clock
     * @param registry where histograms go
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
        // Whether a request ran is not known if answering it fails.
        arrivals = HttpArrivals.watch(server, executor);
        HttpService.serve(server, "/", 504, drain, arrivals, this::handle);
        server.start();
    }

    /**
     * Gets the port listened on.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    /** Asks callers to connect elsewhere from now on. */
    public void leave() {
        drain.leave();
    }

    /**
     * Gets how many requests are in progress.
     *
     * @return the number
     */
    public int getInProgress() {
        return drain.getInProgress();
    }

    /**
     * Waits until the server may be closed without cutting a request, or the time is nearly over.
     *
     * @param mostMillis how long the whole may take, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitEnd(long mostMillis) throws InterruptedException {
        drain.awaitEnd(mostMillis, TimeUnit.MILLISECONDS::sleep, arrivals, () -> {});
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        long start = System.nanoTime();
        Optional<byte[]> body = RequestBody.read(exchange, MOST_BODY_BYTES);
        RoutedAnswer answer =
                body.isEmpty() ? tooLong(exchange) : answer(exchange, body.orElseThrow(), start);
        write(exchange, answer);
    }

    private RoutedAnswer answer(HttpExchange exchange, byte[] body, long start) {
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return RoutedAnswer.ofNotRun("the entry has no bundle yet", 0);
        }
        CallerRequest request;
        try {
            request = read(exchange, body);
        } catch (StandlinkException wrong) {
            return refusal(BAD_REQUEST, wrong.getMessage());
        }
        Optional<MatchedRequest> matched = MatchedRequest.match(request, bundle);
        if (matched.isEmpty()) {
            return RoutedAnswer.ofNoService("no service takes " + request.path());
        }
        RoutedAnswer answer = admit(matched.get(), bundle);
        record(matched.get(), bundle, answer, start);
        return answer;
    }

    /** What was not read of the body would be taken for the next request. */
    private static RoutedAnswer tooLong(HttpExchange exchange) {
        exchange.getResponseHeaders().set("Connection", "close");
        return refusal(TOO_LONG, "the body is longer than " + MOST_BODY_BYTES + " bytes");
    }

    private static RoutedAnswer refusal(int status, String reason) {
        RoutedAnswer notRun = RoutedAnswer.ofNoService(reason);
        return new RoutedAnswer(
                notRun.outcome(), status, notRun.headers(), notRun.body(), reason, 0, null);
    }

    /** Reads how long a caller waits. */
    static long parseWaitMillis(String header) {
        if (header == null) {
            return 0;
        }
        long millis = -1;
        try {
            millis = Long.parseLong(header.trim());
        } catch (NumberFormatException malformed) {
            // It stays out of range and is refused below.
        }
        if (millis < 1 || millis > MOST_WAIT_MILLIS) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    WAIT_HEADER + " is '" + header + "'",
                    "write whole milliseconds, 1 to " + MOST_WAIT_MILLIS);
        }
        return millis;
    }

    private static CallerRequest read(HttpExchange exchange, byte[] body) {
        Headers headers = exchange.getRequestHeaders();
        Map<String, String> passed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> passed.put(name, String.join(", ", values)));
        String team = headers.getFirst(TEAM_HEADER);
        return new CallerRequest(
                exchange.getRequestMethod(),
                exchange.getRequestURI().toString(),
                exchange.getRequestURI().getPath(),
                team == null ? NO_TEAM : TeamId.parse(team),
                headers.getFirst(KEY_HEADER),
                parseWaitMillis(headers.getFirst(WAIT_HEADER)),
                passed,
                body);
    }

    private RoutedAnswer admit(MatchedRequest matched, Bundle bundle) {
        Object classKey = matched.requestClass().id();
        Object teamKey = matched.request().team();
        if (!limiter.tryAcquire(classKey, matched.requestClass().concurrency())) {
            return refused(matched, "the class is at its limit");
        }
        try {
            int teamLimit =
                    bundle.findTeam(matched.request().team())
                            .map(TeamSpecification::concurrency)
                            .orElse(UNKNOWN_TEAM_CONCURRENCY);
            if (!limiter.tryAcquire(teamKey, teamLimit)) {
                return refused(matched, "the team is at its limit");
            }
            try {
                return router.route(matched, bundle, deadline(matched));
            } finally {
                limiter.release(teamKey);
            }
        } finally {
            limiter.release(classKey);
        }
    }

    private RoutedAnswer refused(MatchedRequest matched, String reason) {
        registry.counter("standlink.entry.refused", "class", matched.requestClass().id().toString())
                .increment();
        return RoutedAnswer.ofNotRun(reason, LIMIT_RETRY_MILLIS);
    }

    private long deadline(MatchedRequest matched) {
        long most = matched.requestClass().deadlineMillis();
        long asked = matched.request().waitMillis();
        return clock.nowMillis() + (asked == 0 ? most : Math.min(most, asked));
    }

    private void record(MatchedRequest matched, Bundle bundle, RoutedAnswer answer, long start) {
        TeamId team = matched.request().team();
        String known = bundle.findTeam(team).isPresent() ? team.toString() : "other";
        Timer.builder("standlink.entry.requests")
                .tag("service", matched.service().id().toString())
                .tag("class", matched.requestClass().id().toString())
                .tag("team", known)
                .tag("outcome", answer.outcome().toString())
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofSeconds(30))
                .register(registry)
                .record(System.nanoTime() - start, TimeUnit.NANOSECONDS);
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
        if (drain.tell(exchange.getRemoteAddress())) {
            headers.set("Connection", "close");
        }
        byte[] body = answer.body();
        if (!answer.reason().isEmpty()) {
            headers.set("Content-Type", "text/plain; charset=utf-8");
            body = (answer.reason() + "\n").getBytes(StandardCharsets.UTF_8);
        }
        boolean none = body.length == 0 || exchange.getRequestMethod().equals("HEAD");
        exchange.sendResponseHeaders(answer.status(), none ? -1 : body.length);
        if (!none) {
            exchange.getResponseBody().write(body);
        }
    }
}
