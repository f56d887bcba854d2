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
package org.standlink.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.store.KeyedRecord;

/**
 * Decodes the configuration that the operator publishes.
 *
 * <p>{@code ConfigurationFormat} is thread-safe and immutable.
 */
public final class ConfigurationFormat {

    /** The key of the configuration. */
    private static final String CONFIGURATION_KEY = "config";

    private ConfigurationFormat() {}

    /**
     * Decodes a record.
     *
     * @param record the record
     * @return the configuration, empty if the record has another key or no value
     */
    public static Optional<Configuration> decode(KeyedRecord record) {
        if (!record.key().equals(CONFIGURATION_KEY) || record.value().length == 0) {
            return Optional.empty();
        }
        JsonNode body = Json.read(record.value());
        List<QueueDefinition> queues = new ArrayList<>();
        body.path("routes").forEach(route -> queues.add(decodeQueue(route)));
        List<String> unguardedServices = new ArrayList<>();
        for (JsonNode service : body.path("services")) {
            if (!service.path("enforces_capacity").asBoolean()) {
                unguardedServices.add(service.path("name").asText());
            }
        }
        return Optional.of(
                new Configuration(
                        body.path("version").asLong(),
                        queues,
                        unguardedServices,
                        body.path("limits").path("max_body_bytes").asInt()));
    }

    private static QueueDefinition decodeQueue(JsonNode route) {
        return new QueueDefinition(
                route.path("name").asText(),
                route.path("host").asText(),
                route.path("path_prefix").asText(),
                route.path("service").asText(),
                route.path("priority").asInt(),
                Math.max(1, route.path("max_attempts").asInt(1)),
                route.path("target_latency_ms").asLong(),
                route.path("stretch").asDouble(1),
                route.has("advice") && !route.path("advice").isNull());
    }
}
