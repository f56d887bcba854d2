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
package org.standlink.agent;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.standlink.Incarnation;
import org.standlink.Outcome;
import org.standlink.RequestClassId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.Guarded;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.OutcomeQuery;
import org.standlink.wire.UpstreamLoad;

/**
 * Runs forwarded requests at the upstream, each at most once, within the upstream's slots.
 *
 * <p>A caller is answered by its deadline. The slot of a request is released only when the upstream
 * has answered or failed, so the upstream never runs more requests than it has slots.
 *
 * <p>{@code RequestHandler} is thread-safe.
 */
public final class RequestHandler {

    /** The retry delay for callers after a refusal with a temporary cause, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** The reason for refusals while the upstream or its agent is leaving. */
    private static final String LEAVING = "the upstream is leaving";

    /** How long the upstream is reported as failing after a failed connection, in milliseconds. */
    private static final long FAILING_PERIOD_MILLIS = 1000;

    /**
     * The delay of the timer after the deadline, so that requests waiting for a slot are rejected
     * first, in milliseconds.
     */
    private static final long TIMER_SLACK_MILLIS = 2;

    private final VmId self;
    private final Incarnation incarnation;
    private final UpstreamPort upstream;
    private final BundleHolder holder;
    private final MonotonicClock clock;
    private final ScheduledExecutorService scheduler;
    private final MeterRegistry registry;
    private final RequestTable requestTable = new RequestTable();
    private final UpstreamSlots upstreamSlots = new UpstreamSlots();
    private final KeyedRequests keyedRequests;
    private final ServiceMeter meter = new ServiceMeter();

    /** When a connection to the upstream last failed, in milliseconds. */
    private final AtomicLong lastFailureMillis = new AtomicLong(Long.MIN_VALUE / 2);

    /** Whether new requests are refused. */
    private volatile boolean leaving;

    /** Whether the upstream is leaving, so that no more requests are sent to it. */
    private volatile boolean upstreamLeaving;

    /**
     * Creates a handler.
     *
     * @param self this VM
     * @param incarnation the incarnation of this process
     * @param upstream the upstream
     * @param holder holds the bundle in force
     * @param nodeLeaseLive supplies whether the node lease is live
     * @param clock the clock
     * @param scheduler the scheduler for the deadlines of callers
     * @param registry the registry for histograms
     */
    public RequestHandler(
            VmId self,
            Incarnation incarnation,
            UpstreamPort upstream,
            BundleHolder holder,
            BooleanSupplier nodeLeaseLive,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            MeterRegistry registry) {
        this.self = self;
        this.incarnation = incarnation;
        this.upstream = upstream;
        this.holder = holder;
        this.clock = clock;
        this.scheduler = scheduler;
        this.registry = registry;
        this.keyedRequests = new KeyedRequests(self, nodeLeaseLive, clock);
    }

    // -----------------------------------------------------------------------
    /**
     * Handles a forwarded request.
     *
     * @param request the request
     * @return the answer, complete at the request's deadline at the latest
     */
    public CompletableFuture<ForwardAnswer> forward(ForwardRequest request) {
        Optional<RequestTable.Rejection> rejection = requestTable.begin(request.id());
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(createRejectionAnswer(rejection.get()));
        }
        CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
        // The table records the actual outcome, also if the caller has been answered before.
        Guarded.onCompletion(
                "request-end",
                answer,
                (value, failure) -> requestTable.complete(request.id(), value));
        Optional<ForwardAnswer> refusal = findRefusal(request);
        if (refusal.isPresent()) {
            answer.complete(refusal.get());
            return answer;
        }
        if (request.idempotencyKey() == null) {
            acquireSlot(request, answer);
        } else {
            keyedRequests.run(
                    request, holder.getBundle(), answer, () -> acquireSlot(request, answer));
        }
        return withDeadline(request, answer);
    }

    /**
     * Returns the outcome of a request. A request that has not been received yet is barred, so that
     * it will never run.
     *
     * @param query the query
     * @return the outcome, complete once the request has ended
     */
    public CompletableFuture<ForwardAnswer> queryOutcome(OutcomeQuery query) {
        if (!query.agent().equals(incarnation)) {
            return CompletableFuture.completedFuture(
                    AnswerFactory.unknown("the agent was restarted", getOutstanding()));
        }
        ForwardAnswer barred = AnswerFactory.notRun("never received", 0, getOutstanding());
        return requestTable
                .queryOutcome(query.id(), barred)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        AnswerFactory.unknown(
                                                "the outcome is no longer recorded",
                                                getOutstanding())));
    }

    /**
     * Gets the load of the upstream.
     *
     * @return the load
     */
    public UpstreamLoad getLoad() {
        boolean failing = clock.nowMillis() - lastFailureMillis.get() < FAILING_PERIOD_MILLIS;
        return new UpstreamLoad(getOutstanding(), leaving, failing);
    }

    ServiceMeter getMeter() {
        return meter;
    }

    /**
     * Updates the known upstreams from the bundle in force. It is called at short intervals, so
     * that the time at which keys moved to this upstream is known exactly.
     */
    public void observeBundle() {
        Bundle bundle = holder.getBundle();
        if (bundle != null) {
            keyedRequests.observeBundle(bundle);
        }
    }

    /** Refuses new requests from now on. */
    public void leave() {
        leaving = true;
    }

    /**
     * Stops sending requests to the upstream, which may close its connections at any time: the
     * outcome of a request that is interrupted by this is unknown. Requests waiting for a slot have
     * not run; they are rejected, so that they can be sent elsewhere.
     */
    public void setUpstreamLeaving() {
        leaving = true;
        upstreamLeaving = true;
        upstreamSlots.rejectAll(LEAVING);
    }

    /** Rejects the waiting requests whose deadlines have passed. */
    public void rejectExpired() {
        upstreamSlots.rejectExpired(clock.nowMillis());
    }

    /**
     * Gets the number of requests that are running or waiting.
     *
     * @return the number of requests
     */
    public int getOutstanding() {
        return upstreamSlots.getOutstanding();
    }

    // -----------------------------------------------------------------------
    private ForwardAnswer createRejectionAnswer(RequestTable.Rejection rejection) {
        if (rejection == RequestTable.Rejection.BARRED) {
            return AnswerFactory.notRun(
                    "the request id is barred or already used",
                    RETRY_AFTER_MILLIS,
                    getOutstanding());
        }
        return AnswerFactory.unknown("received before", getOutstanding());
    }

    private Optional<ForwardAnswer> findRefusal(ForwardRequest request) {
        if (leaving) {
            return refuse(LEAVING, RETRY_AFTER_MILLIS);
        }
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return refuse("the agent has no bundle yet", RETRY_AFTER_MILLIS);
        }
        ServiceSpecification service = bundle.findService(request.service()).orElse(null);
        if (service == null || !service.upstreams().contains(self)) {
            return refuse("the service does not use this upstream", RETRY_AFTER_MILLIS);
        }
        return Optional.empty();
    }

    private Optional<ForwardAnswer> refuse(String reason, long retryMillis) {
        return Optional.of(AnswerFactory.notRun(reason, retryMillis, getOutstanding()));
    }

    private void acquireSlot(ForwardRequest request, CompletableFuture<ForwardAnswer> answer) {
        ServiceSpecification service =
                holder.getBundle().findService(request.service()).orElseThrow();
        long deadlineMillis = clock.nowMillis() + request.budgetMillis();
        UpstreamSlots.Waiter waiter =
                new UpstreamSlots.Waiter() {
                    @Override
                    public void slotAcquired() {
                        sendToUpstream(request, service, deadlineMillis, answer);
                    }

                    @Override
                    public void rejected(String reason) {
                        answer.complete(
                                AnswerFactory.notRun(reason, RETRY_AFTER_MILLIS, getOutstanding()));
                    }
                };
        if (!upstreamSlots.tryAcquire(waiter, service.slots(), service.queue(), deadlineMillis)) {
            answer.complete(
                    AnswerFactory.notRun(
                            "the queue for slots of the upstream is full",
                            RETRY_AFTER_MILLIS,
                            getOutstanding()));
        }
    }

    private void sendToUpstream(
            ForwardRequest request,
            ServiceSpecification service,
            long deadlineMillis,
            CompletableFuture<ForwardAnswer> answer) {
        long startNanos = System.nanoTime();
        if (upstreamLeaving || clock.nowMillis() >= deadlineMillis) {
            upstreamSlots.release(clock.nowMillis());
            String reason = upstreamLeaving ? LEAVING : "no free slot before the deadline";
            answer.complete(AnswerFactory.notRun(reason, RETRY_AFTER_MILLIS, getOutstanding()));
            return;
        }
        Guarded.onCompletion(
                "upstream-answer",
                upstream.run(request),
                (value, failure) -> {
                    // Released and answered first, so that a failure below cannot prevent it.
                    upstreamSlots.release(clock.nowMillis());
                    answer.complete(
                            failure == null
                                    ? value
                                    : AnswerFactory.unknown(
                                            "internal failure of the agent", getOutstanding()));
                    recordLatency(request, service, value, System.nanoTime() - startNanos);
                });
    }

    private void recordLatency(
            ForwardRequest request, ServiceSpecification service, ForwardAnswer value, long nanos) {
        if (value.outcome() == Outcome.NOT_RUN) {
            lastFailureMillis.set(clock.nowMillis());
        }
        registry.timer(
                        "standlink.agent.requests",
                        "class",
                        request.requestClass().toString(),
                        "outcome",
                        value.outcome().toString())
                .record(nanos, TimeUnit.NANOSECONDS);
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        long latencyPercent = micros / (10 * targetMillis(service, request.requestClass()));
        meter.recordRequest(
                service.id(),
                (int) Math.min(Integer.MAX_VALUE, latencyPercent),
                upstreamSlots.getRunning(),
                service.slots(),
                clock.nowMillis());
    }

    private static long targetMillis(ServiceSpecification service, RequestClassId id) {
        return service.classes().stream()
                .filter(requestClass -> requestClass.id().equals(id))
                .mapToLong(requestClass -> requestClass.targetMillis())
                .findFirst()
                .orElse(1000);
    }

    private CompletableFuture<ForwardAnswer> withDeadline(
            ForwardRequest request, CompletableFuture<ForwardAnswer> answer) {
        if (answer.isDone()) {
            return answer;
        }
        CompletableFuture<ForwardAnswer> callerAnswer = new CompletableFuture<>();
        Future<?> timer =
                scheduler.schedule(
                        () -> answerAtDeadline(callerAnswer),
                        request.budgetMillis() + TIMER_SLACK_MILLIS,
                        TimeUnit.MILLISECONDS);
        Guarded.onCompletion(
                "request-answer",
                answer,
                (value, failure) -> {
                    timer.cancel(false);
                    callerAnswer.complete(value);
                });
        return callerAnswer;
    }

    private void answerAtDeadline(CompletableFuture<ForwardAnswer> callerAnswer) {
        rejectExpired();
        callerAnswer.complete(
                AnswerFactory.unknown("no answer before the deadline", getOutstanding()));
    }
}
