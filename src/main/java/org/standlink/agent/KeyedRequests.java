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
 * Runs requests with an idempotency key once, and answers the others with the same key alike.
 *
 * <p>A key is taken only while the agent has a live node lease, sees the same upstreams as the
 * entry and may vouch that the key has not run elsewhere.
 *
 * <p>{@code KeyedRequests} is thread-safe.
 */
final class KeyedRequests {

    /** When to come back after a refusal that will soon be over, in milliseconds. */
    private static final long SOON_MILLIS = 200;

    /** Milliseconds in a second. */
    private static final long SECOND_MILLIS = 1000;

    /** The HTTP status of a key that stands for a different request. */
    private static final int UNPROCESSABLE = 422;

    /** Tells whether the node lease is live. */
    private final BooleanSupplier nodeLease;

    /** The clock. */
    private final MonotonicClock clock;

    /** The answers kept. */
    private final KeyedAnswers answers = new KeyedAnswers();

    /** The keys that may be vouched for. */
    private final RosterTracker rosters;

    /**
     * Constructor.
     *
     * @param self this VM
     * @param nodeLease tells whether the node lease is live
     * @param clock the clock
     */
    KeyedRequests(VmId self, BooleanSupplier nodeLease, MonotonicClock clock) {
        this.nodeLease = nodeLease;
        this.clock = clock;
        this.rosters = new RosterTracker(self, clock.nowMillis());
    }

    /**
     * Notes the bundle in force.
     *
     * @param bundle the bundle
     */
    void observeBundle(Bundle bundle) {
        rosters.observeBundle(bundle, clock.nowMillis());
    }

    /**
     * Runs a request, or answers it without running it.
     *
     * @param request a request with a key, of a service that is here
     * @param bundle the bundle in force
     * @param answer completed with what becomes of it
     * @param runner runs the request and completes the answer
     */
    void run(
            ForwardRequest request,
            Bundle bundle,
            CompletableFuture<ForwardAnswer> answer,
            Runnable runner) {
        ServiceSpecification service = bundle.findService(request.service()).orElseThrow();
        String key = keyOf(request);
        Optional<ForwardAnswer> refusal = refusal(request, bundle, service, key);
        if (refusal.isPresent()) {
            answer.complete(refusal.get());
            return;
        }
        switch (answers.begin(key, fingerprint(request), clock.nowMillis())) {
            case RUN -> {
                long window = service.keyWindowSeconds() * SECOND_MILLIS;
                Guarded.then(
                        "keyed-end",
                        answer,
                        (value, failure) ->
                                answers.complete(key, value, clock.nowMillis() + window));
                runner.run();
            }
            case REPLAY -> replay(key, answer);
            case MISMATCH -> answer.complete(mismatch());
            default ->
                    answer.complete(AnswerFactory.notRun("too many keys are kept", SOON_MILLIS, 0));
        }
    }

    // -----------------------------------------------------------------------
    private Optional<ForwardAnswer> refusal(
            ForwardRequest request, Bundle bundle, ServiceSpecification service, String key) {
        if (!nodeLease.getAsBoolean()) {
            return Optional.of(AnswerFactory.notRun("keys need a live node lease", SOON_MILLIS, 0));
        }
        if (request.roster() != service.rosterDigest()) {
            return Optional.of(AnswerFactory.notRun("the upstreams have changed", SOON_MILLIS, 0));
        }
        long wait = rosters.getWaitMillis(bundle, service, key, clock.nowMillis());
        if (wait > 0) {
            return Optional.of(AnswerFactory.notRun("the key may have run elsewhere", wait, 0));
        }
        return Optional.empty();
    }

    private void replay(String key, CompletableFuture<ForwardAnswer> answer) {
        Optional<CompletableFuture<ForwardAnswer>> first = answers.get(key);
        if (first.isEmpty()) {
            answer.complete(AnswerFactory.notRun("the first request did not run", 0, 0));
        } else {
            Guarded.then("replay", first.get(), (value, failure) -> answer.complete(value));
        }
    }

    private static ForwardAnswer mismatch() {
        String reason = "the Idempotency-Key stands for a different request\n";
        return new ForwardAnswer(
                Outcome.ANSWERED,
                UNPROCESSABLE,
                Map.of("content-type", "text/plain"),
                reason.getBytes(StandardCharsets.UTF_8),
                "",
                0,
                0);
    }

    private static String keyOf(ForwardRequest request) {
        return request.service() + "\n" + request.team() + "\n" + request.idempotencyKey();
    }

    private static int fingerprint(ForwardRequest request) {
        return Arrays.hashCode(request.body())
                + 31 * (request.method() + request.target()).hashCode();
    }
}
