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

import java.util.Comparator;
import java.util.Optional;
import org.standlink.RequestId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.RequestClass;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.wire.ForwardRequest;

/**
 * A request of a caller with the service and request class that it matches.
 *
 * <p>{@code MatchedRequest} is thread-safe and immutable if its body is not changed.
 *
 * @param request the request
 * @param service the service
 * @param requestClass the request class
 */
public record MatchedRequest(
        CallerRequest request, ServiceSpecification service, RequestClass requestClass) {

    /**
     * Finds the service and request class with the longest path prefixes that match a request.
     *
     * @param request the request
     * @param bundle the bundle in force
     * @return the matched request, empty if no service or request class matches
     */
    static Optional<MatchedRequest> match(CallerRequest request, Bundle bundle) {
        return bundle.services().stream()
                .filter(service -> request.path().startsWith(service.pathPrefix()))
                .max(Comparator.comparingInt(service -> service.pathPrefix().length()))
                .flatMap(service -> match(request, service));
    }

    private static Optional<MatchedRequest> match(
            CallerRequest request, ServiceSpecification service) {
        return service.classes().stream()
                .filter(requestClass -> request.path().startsWith(requestClass.pathPrefix()))
                .filter(
                        requestClass ->
                                requestClass.methods().isEmpty()
                                        || requestClass.methods().contains(request.method()))
                .max(Comparator.comparingInt(requestClass -> requestClass.pathPrefix().length()))
                .map(requestClass -> new MatchedRequest(request, service, requestClass));
    }

    /**
     * Gets the caller's idempotency key, qualified by service and team.
     *
     * @return the qualified key, null if the caller specified none
     */
    String getScopedKey() {
        String key = request.idempotencyKey();
        return key == null ? null : service.id() + "\n" + request.team() + "\n" + key;
    }

    /**
     * Creates the message to the agent.
     *
     * @param id the id of the attempt
     * @param remainingMillis how long the caller will still wait, in milliseconds
     * @return the message
     */
    ForwardRequest toForwardRequest(RequestId id, long remainingMillis) {
        return new ForwardRequest(
                id,
                service.id(),
                requestClass.id(),
                request.team(),
                request.idempotencyKey(),
                service.rosterDigest(),
                remainingMillis,
                request.method(),
                request.target(),
                request.headers(),
                request.body());
    }
}
