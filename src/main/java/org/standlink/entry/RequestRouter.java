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

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.standlink.ErrorCode;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.Outcome;
import org.standlink.RendezvousHash;
import org.standlink.RequestId;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.Mode;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.OutlierDetector;
import org.standlink.policy.RetryBudget;
import org.standlink.policy.RoundRobinRouting;
import org.standlink.policy.RoutingPolicy;
import org.standlink.policy.UpstreamView;
import org.standlink.wire.Connection;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.Hello;
import org.standlink.wire.Message;
import org.standlink.wire.OutcomeQuery;

/**
 * Sends a request to an upstream, finds out what became of it when a connection is lost, and tries
 * again where that is safe.
 *
 * <p>A try that did not run is repeated elsewhere. One of which that is not known is repeated only
 * if the class says that its requests may run twice. Once any try is unknown, the request is never
 * called "not run".
 *
 * <p>{@code RequestRouter} is thread-safe.
 */
public final class RequestRouter {

    /** The most tries of one request. */
    private static final int MOST_TRIES = 4;

    /** How much longer than the agent the entry waits, in milliseconds. */
    private static final long GRACE_MILLIS = 100;

    /** The least time for which a try or a question is worth sending, in milliseconds. */
    private static final long LEAST_MILLIS = 5;

    /** This process. */
    private final Incarnation incarnation;

    /** The hall of the entry. */
    private final HallId hall;

    /** The agents. */
    private final UpstreamDirectory directory;

    /** Chooses upstreams for managed services. */
    private final RoutingPolicy managed;

    /** Chooses upstreams for observed services. */
    private final RoutingPolicy observed = new RoundRobinRouting();

    /** Takes bad upstreams out. */
    private final OutlierDetector outliers = new OutlierDetector();

    /** Bounds retries. */
    private final RetryBudget retries;

    /** The clock. */
    private final MonotonicClock clock;

    /** Where counters go. */
    private final MeterRegistry registry;

    /** The number of the last try. */
    private final AtomicLong lastTry = new AtomicLong();

    /**
     * Constructor.
     *
     * @param incarnation the run of this process
     * @param hall the hall of the entry
     * @param directory the agents
     * @param managed chooses upstreams for managed services
     * @param retries bounds retries
     * @param clock the clock
     * @param registry where counters go
     */
    public RequestRouter(
            Incarnation incarnation,
            HallId hall,
            UpstreamDirectory directory,
            RoutingPolicy managed,
            RetryBudget retries,
            MonotonicClock clock,
            MeterRegistry registry) {
        this.incarnation = incarnation;
        this.hall = hall;
        this.directory = directory;
        this.managed = managed;
        this.retries = retries;
        this.clock = clock;
        this.registry = registry;
    }

    // -----------------------------------------------------------------------
    /**
     * Routes a request.
     *
     * @param request the request with its service and class
     * @param bundle the bundle in force
     * @param untilMillis when the caller stops waiting, in milliseconds
     * @return what the caller is told
     */
    public RoutedAnswer route(MatchedRequest request, Bundle bundle, long untilMillis) {
        Set<VmId> tried = new HashSet<>();
        String unknown = null;
        ForwardAnswer last = null;
        retries.recordRequest();
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            long left = untilMillis - clock.nowMillis();
            Upstream upstream = choose(request, bundle, tried);
            if (left < LEAST_MILLIS || upstream == null) {
                break;
            }
            if (tries > 0 && !retries.tryRetry()) {
                registry.counter("standlink.entry.retries.refused").increment();
                break;
            }
            tried.add(upstream.getVm());
            last = tryOnce(request, upstream, left, untilMillis);
            if (last.outcome() == Outcome.ANSWERED) {
                return RoutedAnswer.ofAnswered(last, upstream.getVm());
            }
            if (last.outcome() == Outcome.UNKNOWN) {
                unknown = last.reason();
                if (!request.requestClass().repeatable()) {
                    break;
                }
            }
        }
        if (unknown != null) {
            return RoutedAnswer.ofUnknown(unknown);
        }
        return last == null
                ? RoutedAnswer.ofNotRun("no upstream is open", 0)
                : RoutedAnswer.ofNotRun(last.reason(), last.retryAfterMillis());
    }

    // -----------------------------------------------------------------------
    private Upstream choose(MatchedRequest request, Bundle bundle, Set<VmId> tried) {
        ServiceSpecification service = request.service();
        String key = request.getScopedKey();
        if (key != null) {
            Upstream home = directory.getOrAdd(RendezvousHash.home(key, service.upstreams()));
            return tried.isEmpty() && home.isOpen() ? home : null;
        }
        boolean manages = service.mode() == Mode.MANAGE;
        List<UpstreamView> views = new ArrayList<>();
        List<UpstreamView> fallback = new ArrayList<>();
        for (VmId vm : service.upstreams()) {
            Upstream upstream = directory.getOrAdd(vm);
            if (!upstream.isOpen() || tried.contains(vm)) {
                continue;
            }
            UpstreamView view = view(upstream, service, bundle);
            fallback.add(view);
            if (!manages || outliers.isAllowed(vm, clock.nowMillis())) {
                views.add(view);
            }
        }
        List<UpstreamView> candidates = views.isEmpty() ? fallback : views;
        if (candidates.isEmpty()) {
            return null;
        }
        RoutingPolicy policy = manages ? managed : observed;
        return directory.getOrAdd(candidates.get(policy.choose(candidates)).vm());
    }

    private UpstreamView view(Upstream upstream, ServiceSpecification service, Bundle bundle) {
        long distance =
                bundle.findWorker(upstream.getVm())
                        .map(worker -> bundle.getDistanceMicros(hall, worker.hall()))
                        .orElse(0L);
        return new UpstreamView(
                upstream.getVm(),
                upstream.getOutstanding(),
                service.slots(),
                distance,
                outliers.getLatencyMicros(upstream.getVm()));
    }

    private ForwardAnswer tryOnce(
            MatchedRequest request, Upstream upstream, long left, long untilMillis) {
        Connection connection = upstream.getPeer().getOpenConnection();
        Hello hello = connection == null ? null : connection.getHello();
        if (hello == null) {
            return notSent();
        }
        RequestId id = new RequestId(incarnation, lastTry.incrementAndGet());
        ForwardRequest forward = request.toForwardRequest(id, left);
        long start = System.nanoTime();
        outliers.recordSend(upstream.getVm(), clock.nowMillis());
        upstream.recordSend();
        ForwardAnswer answer;
        try {
            answer = send(() -> connection.callUnlessPeerLeaving(forward, left + GRACE_MILLIS));
            if (answer == null) {
                answer = resolve(upstream, id, hello, untilMillis);
            }
        } finally {
            upstream.recordEnd();
        }
        judge(upstream, answer, (System.nanoTime() - start) / 1000);
        return answer;
    }

    private void judge(Upstream upstream, ForwardAnswer answer, long micros) {
        long now = clock.nowMillis();
        if (answer.outcome() == Outcome.ANSWERED && answer.status() < 500) {
            outliers.recordAnswer(upstream.getVm(), micros, now);
        } else {
            outliers.recordFailure(upstream.getVm(), now);
        }
        registry.counter("standlink.entry.tries", "outcome", answer.outcome().toString())
                .increment();
    }

    /** Sends a message; null if the connection was lost, so that the outcome must be asked for. */
    private static ForwardAnswer send(Supplier<CompletableFuture<Message>> call) {
        try {
            Message answer = call.get().get();
            return answer instanceof ForwardAnswer forwarded
                    ? forwarded
                    : unknown("an answer of the wrong kind");
        } catch (ExecutionException | CompletionException failure) {
            if (hasCode(failure.getCause(), ErrorCode.PEER_UNREACHABLE)) {
                return notSent();
            }
            boolean lost = hasCode(failure.getCause(), ErrorCode.CONNECTION_LOST);
            return lost ? null : unknown("no answer in time");
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return unknown("the entry was interrupted");
        }
    }

    private static boolean hasCode(Throwable cause, ErrorCode code) {
        return cause instanceof StandlinkException known && known.getCode() == code;
    }

    /** Asks what became of a try whose connection was lost. */
    private ForwardAnswer resolve(Upstream upstream, RequestId id, Hello hello, long untilMillis) {
        registry.counter("standlink.entry.outcome.queries").increment();
        long left = untilMillis - clock.nowMillis();
        if (left < LEAST_MILLIS) {
            return unknown("the connection was lost and there was no time to ask");
        }
        try {
            Connection connection = upstream.getPeer().connect();
            OutcomeQuery query = new OutcomeQuery(id, hello.incarnation());
            ForwardAnswer answer = send(() -> connection.call(query, left));
            return answer == null ? unknown("the connection was lost twice") : answer;
        } catch (StandlinkException unreachable) {
            return unknown("the agent is gone and cannot be asked");
        }
    }

    private static ForwardAnswer notSent() {
        return new ForwardAnswer(
                Outcome.NOT_RUN, 0, java.util.Map.of(), new byte[0], "not sent", 0, 0);
    }

    private static ForwardAnswer unknown(String reason) {
        return new ForwardAnswer(Outcome.UNKNOWN, 0, java.util.Map.of(), new byte[0], reason, 0, 0);
    }
}
