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
 * Sends requests to upstreams, queries the outcome if a connection is lost, and retries where that
 * is safe.
 *
 * <p>An attempt that did not run is retried at another upstream. An attempt with unknown outcome is
 * retried only if the request class is repeatable, which means that its requests may run twice.
 * Once the outcome of any attempt is unknown, the request is never reported as not run.
 *
 * <p>{@code RequestRouter} is thread-safe.
 */
public final class RequestRouter {

    /** The maximum number of attempts of a request. */
    private static final int MAX_ATTEMPTS = 4;

    /** How much longer the entry waits than the agent, in milliseconds. */
    private static final long GRACE_MILLIS = 100;

    /** The minimum remaining time for an attempt or an outcome query, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 5;

    /** The incarnation of this process. */
    private final Incarnation incarnation;

    private final HallId hall;

    private final UpstreamDirectory directory;

    /** Chooses upstreams for managed services. */
    private final RoutingPolicy managed;

    /** Chooses upstreams for observed services. */
    private final RoutingPolicy observed = new RoundRobinRouting();

    /** Ejects failing and slow upstreams. */
    private final OutlierDetector outliers = new OutlierDetector();

    private final RetryBudget retries;
    private final MonotonicClock clock;
    private final MeterRegistry registry;

    /** The number of the last attempt. */
    private final AtomicLong lastAttempt = new AtomicLong();

    /**
     * Creates a router.
     *
     * @param incarnation the incarnation of this process
     * @param hall the hall of this entry
     * @param directory the agents to which this entry is connected
     * @param managed chooses upstreams for managed services
     * @param retries limits the number of retries
     * @param clock the clock
     * @param registry the registry for metrics
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
     * Routes a request and waits for its outcome.
     *
     * @param request the request with its service and request class
     * @param bundle the bundle in force
     * @param deadlineMillis when the caller stops waiting, in milliseconds of the clock
     * @return the answer for the caller
     */
    public RoutedAnswer route(MatchedRequest request, Bundle bundle, long deadlineMillis) {
        Set<VmId> tried = new HashSet<>();
        String unknownReason = null;
        ForwardAnswer lastAnswer = null;
        retries.recordRequest();
        for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
            long remainingMillis = deadlineMillis - clock.nowMillis();
            Upstream upstream = choose(request, bundle, tried);
            if (remainingMillis < MIN_REMAINING_MILLIS || upstream == null) {
                break;
            }
            if (attempts > 0 && !retries.tryRetry()) {
                registry.counter("standlink.entry.retries.refused").increment();
                break;
            }
            tried.add(upstream.getVm());
            lastAnswer = attempt(request, upstream, remainingMillis, deadlineMillis);
            if (lastAnswer.outcome() == Outcome.ANSWERED) {
                return RoutedAnswer.ofAnswered(lastAnswer, upstream.getVm());
            }
            if (lastAnswer.outcome() == Outcome.UNKNOWN) {
                unknownReason = lastAnswer.reason();
                if (!request.requestClass().repeatable()) {
                    break;
                }
            }
        }
        if (unknownReason != null) {
            return RoutedAnswer.ofUnknown(unknownReason);
        }
        return lastAnswer == null
                ? RoutedAnswer.ofNotRun("no upstream is available", 0)
                : RoutedAnswer.ofNotRun(lastAnswer.reason(), lastAnswer.retryAfterMillis());
    }

    // -----------------------------------------------------------------------
    private Upstream choose(MatchedRequest request, Bundle bundle, Set<VmId> tried) {
        ServiceSpecification service = request.service();
        String key = request.getScopedKey();
        if (key != null) {
            Upstream homeUpstream =
                    directory.getOrAdd(RendezvousHash.home(key, service.upstreams()));
            return tried.isEmpty() && homeUpstream.isOpen() ? homeUpstream : null;
        }
        boolean isManaged = service.mode() == Mode.MANAGE;
        List<UpstreamView> allowed = new ArrayList<>();
        List<UpstreamView> fallback = new ArrayList<>();
        for (VmId vm : service.upstreams()) {
            Upstream upstream = directory.getOrAdd(vm);
            if (!upstream.isOpen() || tried.contains(vm)) {
                continue;
            }
            UpstreamView view = createView(upstream, service, bundle);
            fallback.add(view);
            if (!isManaged || outliers.isAllowed(vm, clock.nowMillis())) {
                allowed.add(view);
            }
        }
        List<UpstreamView> candidates = allowed.isEmpty() ? fallback : allowed;
        if (candidates.isEmpty()) {
            return null;
        }
        RoutingPolicy policy = isManaged ? managed : observed;
        return directory.getOrAdd(candidates.get(policy.choose(candidates)).vm());
    }

    private UpstreamView createView(
            Upstream upstream, ServiceSpecification service, Bundle bundle) {
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

    private ForwardAnswer attempt(
            MatchedRequest request, Upstream upstream, long remainingMillis, long deadlineMillis) {
        Connection connection = upstream.getPeer().getOpenConnection();
        Hello hello = connection == null ? null : connection.getHello();
        if (hello == null) {
            return createNotSent();
        }
        RequestId id = new RequestId(incarnation, lastAttempt.incrementAndGet());
        ForwardRequest forward = request.toForwardRequest(id, remainingMillis);
        long startNanos = System.nanoTime();
        outliers.recordSend(upstream.getVm(), clock.nowMillis());
        upstream.recordSend();
        ForwardAnswer answer;
        try {
            answer =
                    awaitAnswer(
                            () ->
                                    connection.callUnlessPeerLeaving(
                                            forward, remainingMillis + GRACE_MILLIS));
            if (answer == null) {
                answer = queryOutcome(upstream, id, hello, deadlineMillis);
            }
        } finally {
            upstream.recordEnd();
        }
        recordOutcome(upstream, answer, (System.nanoTime() - startNanos) / 1000);
        return answer;
    }

    private void recordOutcome(Upstream upstream, ForwardAnswer answer, long micros) {
        long now = clock.nowMillis();
        if (answer.outcome() == Outcome.ANSWERED && answer.status() < 500) {
            outliers.recordAnswer(upstream.getVm(), micros, now);
        } else {
            outliers.recordFailure(upstream.getVm(), now);
        }
        registry.counter("standlink.entry.tries", "outcome", answer.outcome().toString())
                .increment();
    }

    /**
     * Waits for the answer to a call; null if the connection was lost and the outcome is unknown.
     */
    private static ForwardAnswer awaitAnswer(Supplier<CompletableFuture<Message>> call) {
        try {
            Message answer = call.get().get();
            return answer instanceof ForwardAnswer forwardAnswer
                    ? forwardAnswer
                    : createUnknown("the agent sent an answer of an unexpected type");
        } catch (ExecutionException | CompletionException failure) {
            if (hasCode(failure.getCause(), ErrorCode.PEER_UNREACHABLE)) {
                return createNotSent();
            }
            boolean lost = hasCode(failure.getCause(), ErrorCode.CONNECTION_LOST);
            return lost ? null : createUnknown("the agent did not answer in time");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return createUnknown("the entry was interrupted while waiting for the answer");
        }
    }

    private static boolean hasCode(Throwable cause, ErrorCode code) {
        return cause instanceof StandlinkException exception && exception.getCode() == code;
    }

    /** Queries the outcome of an attempt whose connection was lost. */
    private ForwardAnswer queryOutcome(
            Upstream upstream, RequestId id, Hello hello, long deadlineMillis) {
        registry.counter("standlink.entry.outcome.queries").increment();
        long remainingMillis = deadlineMillis - clock.nowMillis();
        if (remainingMillis < MIN_REMAINING_MILLIS) {
            return createUnknown("the connection was lost with no time left to query the outcome");
        }
        try {
            Connection connection = upstream.getPeer().connect();
            OutcomeQuery query = new OutcomeQuery(id, hello.incarnation());
            ForwardAnswer answer = awaitAnswer(() -> connection.call(query, remainingMillis));
            return answer == null
                    ? createUnknown("the connection was lost again while querying the outcome")
                    : answer;
        } catch (StandlinkException unreachable) {
            return createUnknown("the agent cannot be reached to query the outcome");
        }
    }

    private static ForwardAnswer createNotSent() {
        return new ForwardAnswer(
                Outcome.NOT_RUN,
                0,
                java.util.Map.of(),
                new byte[0],
                "the request was not sent",
                0,
                0);
    }

    private static ForwardAnswer createUnknown(String reason) {
        return new ForwardAnswer(Outcome.UNKNOWN, 0, java.util.Map.of(), new byte[0], reason, 0, 0);
    }
}
