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
 * Reads what the operator publishes.
 *
 * <p>{@code ConfigurationFormat} is thread-safe and immutable.
 */
public final class ConfigurationFormat {

    /** The key of the newest configuration. */
    private static final String CONFIGURATION_KEY = "config";

    /** No instances. */
    private ConfigurationFormat() {}

    /**
     * Reads a record.
     *
     * @param record the record
     * @return the configuration, empty if the record holds something else
     */
    public static Optional<Configuration> decode(KeyedRecord record) {
        if (!record.key().equals(CONFIGURATION_KEY) || record.value().length == 0) {
            return Optional.empty();
        }
        JsonNode body = Json.read(record.value());
        List<QueueDefinition> queues = new ArrayList<>();
        body.path("routes").forEach(route -> queues.add(queue(route)));
        List<String> unguarded = new ArrayList<>();
        for (JsonNode service : body.path("services")) {
            if (!service.path("enforces_capacity").asBoolean()) {
                unguarded.add(service.path("name").asText());
            }
        }
        return Optional.of(
                new Configuration(
                        body.path("version").asLong(),
                        queues,
                        unguarded,
                        body.path("limits").path("max_body_bytes").asInt()));
    }

    private static QueueDefinition queue(JsonNode route) {
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
