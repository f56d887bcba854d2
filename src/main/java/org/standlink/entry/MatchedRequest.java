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
 * A caller's request with the service and class that it belongs to.
 *
 * <p>{@code MatchedRequest} is thread-safe and immutable, if its body is not changed.
 *
 * @param request the request
 * @param service the service
 * @param requestClass the class
 */
public record MatchedRequest(
        CallerRequest request, ServiceSpecification service, RequestClass requestClass) {

    /**
     * Matches a request.
     *
     * @param request the request
     * @param bundle the bundle in force
     * @return the match by the longest prefixes; empty if no service or class takes it
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
                .filter(one -> request.path().startsWith(one.pathPrefix()))
                .filter(one -> one.methods().isEmpty() || one.methods().contains(request.method()))
                .max(Comparator.comparingInt(one -> one.pathPrefix().length()))
                .map(one -> new MatchedRequest(request, service, one));
    }

    /**
     * Gets the caller's key within its service and team.
     *
     * @return the key, null if the caller gave none
     */
    String getScopedKey() {
        String key = request.idempotencyKey();
        return key == null ? null : service.id() + "\n" + request.team() + "\n" + key;
    }

    /**
     * Makes the message to the agent.
     *
     * @param id the id of the try
     * @param leftMillis how long the caller still waits, in milliseconds
     * @return the message
     */
    ForwardRequest toForwardRequest(RequestId id, long leftMillis) {
        return new ForwardRequest(
                id,
                service.id(),
                requestClass.id(),
                request.team(),
                request.idempotencyKey(),
                service.rosterDigest(),
                leftMillis,
                request.method(),
                request.target(),
                request.headers(),
                request.body());
    }
}
