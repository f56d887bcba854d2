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
import java.util.Set;
import org.standlink.ErrorCode;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;

/**
 * Reads heartbeats of workers.
 *
 * <p>All that is always sent has to be there, in its type: what comes from another writer, or cut
 * short, names no worker that may be used. What is not known is passed over.
 *
 * <p>{@code HeartbeatFormat} is thread-safe and immutable.
 */
final class HeartbeatFormat {

    /** The state of a worker that may be given runs. */
    private static final String READY = "ready";

    /** The state of a worker that is about to leave. */
    private static final String DRAINING = "draining";

    /** The fields that are always texts, besides those that are read. */
    private static final Set<String> OTHER_TEXTS = Set.of("version");

    /** The fields that are always whole numbers, besides those that are read. */
    private static final Set<String> OTHER_NUMBERS = Set.of("slots", "cold_remaining_ms");

    /** No instances. */
    private HeartbeatFormat() {}

    /**
     * A heartbeat.
     *
     * @param worker what the worker said of itself
     * @param sequence the number of the heartbeat in the worker's life
     */
    record Heartbeat(WorkerDescription worker, long sequence) {}

    /**
     * Reads a heartbeat.
     *
     * @param id the id of the worker, as the path names it
     * @param body the bytes
     * @return the heartbeat
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if anything is
     *     missing, of another type or not known
     */
    static Heartbeat decode(WorkerId id, byte[] body) {
        JsonNode fields = Json.read(body);
        OTHER_TEXTS.forEach(name -> text(fields, name));
        OTHER_NUMBERS.forEach(name -> number(fields, name));
        String state = text(fields, "state");
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw malformed("state");
        }
        WorkerDescription worker =
                new WorkerDescription(
                        IncarnationFormat.decode(id, fields),
                        text(fields, "service"),
                        address(fields),
                        capacity(fields.path("capacity")),
                        hall(fields),
                        labels(fields.path("labels")),
                        state.equals(DRAINING),
                        fields.has("remaining_ms") ? number(fields, "remaining_ms") : 0);
        return new Heartbeat(worker, number(fields, "seq"));
    }

    // -----------------------------------------------------------------------
    private static String text(JsonNode fields, String name) {
        JsonNode field = fields.path(name);
        if (!field.isTextual() || field.textValue().isEmpty()) {
            throw malformed(name);
        }
        return field.textValue();
    }

    private static long number(JsonNode fields, String name) {
        JsonNode field = fields.path(name);
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < 0) {
            throw malformed(name);
        }
        return field.longValue();
    }

    private static String address(JsonNode fields) {
        String address = text(fields, "address");
        if (!address.matches("[^\\s:/]+:[0-9]{1,5}")) {
            throw malformed("address");
        }
        return address;
    }

    private static Resources capacity(JsonNode room) {
        return new Resources(number(room, "cpu"), number(room, "mem_mb"), number(room, "gpu"));
    }

    private static HallId hall(JsonNode fields) {
        String name = text(fields, "zone");
        try {
            return HallId.parse(name);
        } catch (StandlinkException unknownForm) {
            throw malformed("zone");
        }
    }

    private static List<String> labels(JsonNode field) {
        if (!field.isArray()) {
            throw malformed("labels");
        }
        List<String> labels = new ArrayList<>();
        for (JsonNode label : field) {
            if (!label.isTextual()) {
                throw malformed("labels");
            }
            labels.add(label.textValue());
        }
        return labels;
    }

    private static StandlinkException malformed(String field) {
        return new StandlinkException(
                ErrorCode.INVALID_MESSAGE,
                "a heartbeat whose " + field + " is missing, of another type or not known",
                "check what the worker sends");
    }
}
