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
 * Runs forwarded requests against the upstream, each at most once, within the upstream's slots.
 *
 * <p>The caller is answered at its deadline at the latest. The slot stays taken until the upstream
 * has answered or failed, so the upstream never runs more than its slots.
 *
 * <p>{@code RequestHandler} is thread-safe.
 */
public final class RequestHandler {

    /** When to come back after a refusal that will soon be over, in milliseconds. */
    private static final long SOON_MILLIS = 200;

    /** Why a request is refused once the upstream or its agent is leaving. */
    private static final String LEAVING = "the upstream is leaving";

    /** How long the upstream counts as failing after it could not be reached, in milliseconds. */
    private static final long FAILING_MILLIS = 1000;

    /** How much later than the deadline its timer fires, so that waiters are given up first. */
    private static final long TIMER_SLACK_MILLIS = 2;

    /** This VM. */
    private final VmId self;

    /** The run of this process. */
    private final Incarnation incarnation;

    /** The upstream. */
    private final UpstreamPort upstream;

    /** The bundle in force. */
    private final BundleHolder holder;

    /** The clock. */
    private final MonotonicClock clock;

    /** Answers callers at their deadlines. */
    private final ScheduledExecutorService scheduler;

    /** Where histograms go. */
    private final MeterRegistry registry;

    /** The tries seen. */
    private final RequestTable table = new RequestTable();

    /** The slots. */
    private final UpstreamSlots gate = new UpstreamSlots();

    /** The requests with a key. */
    private final KeyedRequests keyed;

    /** The latency of services. */
    private final ServiceMeter meter = new ServiceMeter();

    /** When the upstream last could not be reached, in milliseconds. */
    private final AtomicLong failedMillis = new AtomicLong(Long.MIN_VALUE / 2);

    /** Whether nothing new is taken. */
    private volatile boolean leaving;

    /** Whether the upstream is leaving, so that nothing more is sent to it. */
    private volatile boolean upstreamLeaving;

    /**
     * Constructor.
     *
     * @param self this VM
     * @param incarnation the run of this process
     * @param upstream the upstream
     * @param holder the bundle in force
     * @param nodeLease tells whether the node lease is live
     * @param clock the clock
     * @param scheduler answers callers at their deadlines
     * @param registry where histograms go
     */
    public RequestHandler(
            VmId self,
            Incarnation incarnation,
            UpstreamPort upstream,
            BundleHolder holder,
            BooleanSupplier nodeLease,
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
        this.keyed = new KeyedRequests(self, nodeLease, clock);
    }

    // -----------------------------------------------------------------------
    /**
     * Takes in a request.
     *
     * @param request the request
     * @return what becomes of it, at its deadline at the latest
     */
    public CompletableFuture<ForwardAnswer> forward(ForwardRequest request) {
        Optional<RequestTable.Rejection> refused = table.begin(request.id());
        if (refused.isPresent()) {
            return CompletableFuture.completedFuture(refusedAnswer(refused.get()));
        }
        CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
        // The table learns what really became of it, the caller perhaps only that its time was up.
        Guarded.then(
                "request-end", answer, (value, failure) -> table.complete(request.id(), value));
        Optional<ForwardAnswer> refusal = refusal(request);
        if (refusal.isPresent()) {
            answer.complete(refusal.get());
            return answer;
        }
        if (request.idempotencyKey() == null) {
            enter(request, answer);
        } else {
            keyed.run(request, holder.getBundle(), answer, () -> enter(request, answer));
        }
        return atDeadline(request, answer);
    }

    /**
     * Tells what became of a try; one that was not seen is barred for good.
     *
     * @param query the question
     * @return what became of it, once it has ended
     */
    public CompletableFuture<ForwardAnswer> queryOutcome(OutcomeQuery query) {
        if (!query.agent().equals(incarnation)) {
            return CompletableFuture.completedFuture(
                    AnswerFactory.unknown("the agent was restarted", getOutstanding()));
        }
        ForwardAnswer barred = AnswerFactory.notRun("never arrived", 0, getOutstanding());
        return table.queryOutcome(query.id(), barred)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        AnswerFactory.unknown("too long ago", getOutstanding())));
    }

    /**
     * Tells how busy the upstream is.
     *
     * @return the load
     */
    public UpstreamLoad getLoad() {
        boolean failing = clock.nowMillis() - failedMillis.get() < FAILING_MILLIS;
        return new UpstreamLoad(getOutstanding(), leaving, failing);
    }

    /**
     * Gets the latency of services.
     *
     * @return the meter
     */
    ServiceMeter getMeter() {
        return meter;
    }

    /** Notes the bundle in force; to be called often, so that a move of keys is dated right. */
    public void observeBundle() {
        Bundle bundle = holder.getBundle();
        if (bundle != null) {
            keyed.observeBundle(bundle);
        }
    }

    /** Takes nothing new from now on. */
    public void leave() {
        leaving = true;
    }

    /**
     * Sends nothing more to the upstream, which may close its connections at any time: a request
     * that is cut then may have run. What waits for a slot has not run and can go elsewhere.
     */
    public void setUpstreamLeaving() {
        leaving = true;
        upstreamLeaving = true;
        gate.rejectAll(LEAVING);
    }

    /** Gives up the requests whose time in the queue is up. */
    public void rejectExpired() {
        gate.rejectExpired(clock.nowMillis());
    }

    /**
     * Gets how many requests run or wait.
     *
     * @return the number
     */
    public int getOutstanding() {
        return gate.getOutstanding();
    }

    // -----------------------------------------------------------------------
    private ForwardAnswer refusedAnswer(RequestTable.Rejection refused) {
        if (refused == RequestTable.Rejection.BARRED) {
            return AnswerFactory.notRun(
                    "asked about before it arrived", SOON_MILLIS, getOutstanding());
        }
        return AnswerFactory.unknown("seen before", getOutstanding());
    }

    private Optional<ForwardAnswer> refusal(ForwardRequest request) {
        if (leaving) {
            return refuse(LEAVING, SOON_MILLIS);
        }
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return refuse("the agent has no bundle yet", SOON_MILLIS);
        }
        ServiceSpecification service = bundle.findService(request.service()).orElse(null);
        if (service == null || !service.upstreams().contains(self)) {
            return refuse("the service is not here", SOON_MILLIS);
        }
        return Optional.empty();
    }

    private Optional<ForwardAnswer> refuse(String reason, long retryMillis) {
        return Optional.of(AnswerFactory.notRun(reason, retryMillis, getOutstanding()));
    }

    private void enter(ForwardRequest request, CompletableFuture<ForwardAnswer> answer) {
        ServiceSpecification service =
                holder.getBundle().findService(request.service()).orElseThrow();
        long until = clock.nowMillis() + request.budgetMillis();
        UpstreamSlots.Waiter waiter =
                new UpstreamSlots.Waiter() {
                    @Override
                    public void slotAcquired() {
                        run(request, service, until, answer);
                    }

                    @Override
                    public void rejected(String reason) {
                        answer.complete(
                                AnswerFactory.notRun(reason, SOON_MILLIS, getOutstanding()));
                    }
                };
        if (!gate.tryAcquire(waiter, service.slots(), service.queue(), until)) {
            answer.complete(
                    AnswerFactory.notRun("the queue is full", SOON_MILLIS, getOutstanding()));
        }
    }

    private void run(
            ForwardRequest request,
            ServiceSpecification service,
            long until,
            CompletableFuture<ForwardAnswer> answer) {
        long start = System.nanoTime();
        if (upstreamLeaving || clock.nowMillis() >= until) {
            gate.release(clock.nowMillis());
            String reason = upstreamLeaving ? LEAVING : "no slot in time";
            answer.complete(AnswerFactory.notRun(reason, SOON_MILLIS, getOutstanding()));
            return;
        }
        Guarded.then(
                "upstream-answer",
                upstream.run(request),
                (value, failure) -> {
                    // The slot and the answer first, so that nothing keeps them.
                    gate.release(clock.nowMillis());
                    answer.complete(
                            failure == null
                                    ? value
                                    : AnswerFactory.unknown("the agent failed", getOutstanding()));
                    measure(request, service, value, System.nanoTime() - start);
                });
    }

    private void measure(
            ForwardRequest request, ServiceSpecification service, ForwardAnswer value, long nanos) {
        if (value.outcome() == Outcome.NOT_RUN) {
            failedMillis.set(clock.nowMillis());
        }
        registry.timer(
                        "standlink.agent.requests",
                        "class",
                        request.requestClass().toString(),
                        "outcome",
                        value.outcome().toString())
                .record(nanos, TimeUnit.NANOSECONDS);
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        long percent = micros / (10 * targetMillis(service, request.requestClass()));
        meter.recordRequest(
                service.id(),
                (int) Math.min(Integer.MAX_VALUE, percent),
                gate.getRunning(),
                service.slots(),
                clock.nowMillis());
    }

    private static long targetMillis(ServiceSpecification service, RequestClassId id) {
        return service.classes().stream()
                .filter(one -> one.id().equals(id))
                .mapToLong(one -> one.targetMillis())
                .findFirst()
                .orElse(1000);
    }

    private CompletableFuture<ForwardAnswer> atDeadline(
            ForwardRequest request, CompletableFuture<ForwardAnswer> answer) {
        if (answer.isDone()) {
            return answer;
        }
        CompletableFuture<ForwardAnswer> told = new CompletableFuture<>();
        Future<?> timer =
                scheduler.schedule(
                        () -> tellLate(told),
                        request.budgetMillis() + TIMER_SLACK_MILLIS,
                        TimeUnit.MILLISECONDS);
        Guarded.then(
                "request-answer",
                answer,
                (value, failure) -> {
                    timer.cancel(false);
                    told.complete(value);
                });
        return told;
    }

    private void tellLate(CompletableFuture<ForwardAnswer> told) {
        rejectExpired();
        told.complete(AnswerFactory.unknown("no answer in time", getOutstanding()));
    }
}
