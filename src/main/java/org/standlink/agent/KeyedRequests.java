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

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.standlink.Outcome;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.Guarded;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;

/**
 * Runs each request with an idempotency key once, and returns its answer to later requests with the
 * same key.
 *
 * <p>A key is accepted only while the agent holds a live node lease, knows the same upstreams of
 * the service as the entry, and can exclude that a request with the key has run in another process.
 *
 * <p>{@code KeyedRequests} is thread-safe.
 */
final class KeyedRequests {

    /** The retry delay for callers after a refusal with a temporary cause, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 200;

    private static final long MILLIS_PER_SECOND = 1000;

    /** The HTTP status for a key that belongs to a different request. */
    private static final int HTTP_UNPROCESSABLE_CONTENT = 422;

    private final BooleanSupplier nodeLeaseLive;
    private final MonotonicClock clock;
    private final KeyedAnswers answers = new KeyedAnswers();
    private final RosterTracker rosterTracker;

    /**
     * Creates an instance.
     *
     * @param self this VM
     * @param nodeLeaseLive supplies whether the node lease is live
     * @param clock the clock
     */
    KeyedRequests(VmId self, BooleanSupplier nodeLeaseLive, MonotonicClock clock) {
        this.nodeLeaseLive = nodeLeaseLive;
        this.clock = clock;
        this.rosterTracker = new RosterTracker(self, clock.nowMillis());
    }

    /**
     * Updates the known upstreams from the bundle in force.
     *
     * @param bundle the bundle in force
     */
    void observeBundle(Bundle bundle) {
        rosterTracker.observeBundle(bundle, clock.nowMillis());
    }

    /**
     * Runs a request, or answers it without running it.
     *
     * @param request a request with a key, for a service of this upstream
     * @param bundle the bundle in force
     * @param answer completed with the answer
     * @param runner runs the request and completes the answer
     */
    void run(
            ForwardRequest request,
            Bundle bundle,
            CompletableFuture<ForwardAnswer> answer,
            Runnable runner) {
        ServiceSpecification service = bundle.findService(request.service()).orElseThrow();
        String key = createScopedKey(request);
        Optional<ForwardAnswer> refusal = findRefusal(request, bundle, service, key);
        if (refusal.isPresent()) {
            answer.complete(refusal.get());
            return;
        }
        switch (answers.begin(key, computeFingerprint(request), clock.nowMillis())) {
            case RUN -> {
                long windowMillis = service.keyWindowSeconds() * MILLIS_PER_SECOND;
                Guarded.onCompletion(
                        "keyed-end",
                        answer,
                        (value, failure) ->
                                answers.complete(key, value, clock.nowMillis() + windowMillis));
                runner.run();
            }
            case REPLAY -> replay(key, answer);
            case MISMATCH -> answer.complete(createMismatchAnswer());
            default ->
                    answer.complete(
                            AnswerFactory.notRun(
                                    "no space for another idempotency key", RETRY_AFTER_MILLIS, 0));
        }
    }

    // -----------------------------------------------------------------------
    private Optional<ForwardAnswer> findRefusal(
            ForwardRequest request, Bundle bundle, ServiceSpecification service, String key) {
        if (!nodeLeaseLive.getAsBoolean()) {
            return Optional.of(
                    AnswerFactory.notRun(
                            "the agent has no live node lease, which idempotency keys require",
                            RETRY_AFTER_MILLIS,
                            0));
        }
        if (request.roster() != service.rosterDigest()) {
            return Optional.of(
                    AnswerFactory.notRun(
                            "the upstreams of the service have changed", RETRY_AFTER_MILLIS, 0));
        }
        long waitMillis = rosterTracker.getWaitMillis(bundle, service, key, clock.nowMillis());
        if (waitMillis > 0) {
            return Optional.of(
                    AnswerFactory.notRun(
                            "a request with this key may have run in another process",
                            waitMillis,
                            0));
        }
        return Optional.empty();
    }

    private void replay(String key, CompletableFuture<ForwardAnswer> answer) {
        Optional<CompletableFuture<ForwardAnswer>> firstAnswer = answers.get(key);
        if (firstAnswer.isEmpty()) {
            answer.complete(
                    AnswerFactory.notRun("the first request with this key did not run", 0, 0));
        } else {
            Guarded.onCompletion(
                    "replay", firstAnswer.get(), (value, failure) -> answer.complete(value));
        }
    }

    private static ForwardAnswer createMismatchAnswer() {
        String reason = "the Idempotency-Key stands for a different request\n";
        return new ForwardAnswer(
                Outcome.ANSWERED,
                HTTP_UNPROCESSABLE_CONTENT,
                Map.of("content-type", "text/plain"),
                reason.getBytes(StandardCharsets.UTF_8),
                "",
                0,
                0);
    }

    private static String createScopedKey(ForwardRequest request) {
        return request.service() + "\n" + request.team() + "\n" + request.idempotencyKey();
    }

    private static int computeFingerprint(ForwardRequest request) {
        return Arrays.hashCode(request.body())
                + 31 * (request.method() + request.target()).hashCode();
    }
}
