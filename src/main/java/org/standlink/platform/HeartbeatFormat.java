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
import java.util.regex.Pattern;
import org.standlink.ErrorCode;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;

/**
 * Decodes heartbeats of workers.
 *
 * <p>All mandatory fields must be present and of their type: a heartbeat that is truncated or comes
 * from another kind of sender does not describe a usable worker. Unknown fields are ignored.
 *
 * <p>{@code HeartbeatFormat} is thread-safe and immutable.
 */
final class HeartbeatFormat {

    /** A host and a port. */
    private static final Pattern ADDRESS = Pattern.compile("[^\\s:/]+:[0-9]{1,5}");

    /** The state of a worker that accepts runs. */
    private static final String READY = "ready";

    /** The state of a worker that is about to shut down. */
    private static final String DRAINING = "draining";

    /** The mandatory text fields that are validated but not used. */
    private static final Set<String> UNUSED_TEXT_FIELDS = Set.of("version");

    /** The mandatory integer fields that are validated but not used. */
    private static final Set<String> UNUSED_INTEGER_FIELDS = Set.of("slots", "cold_remaining_ms");

    private HeartbeatFormat() {}

    /**
     * A heartbeat.
     *
     * @param worker the description of the worker
     * @param sequence the sequence number of the heartbeat within the incarnation
     */
    record Heartbeat(WorkerDescription worker, long sequence) {}

    /**
     * Decodes a heartbeat.
     *
     * @param id the id of the worker, from the path
     * @param body the bytes
     * @return the heartbeat
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if a field is
     *     missing, of the wrong type or has an invalid value
     */
    static Heartbeat decode(WorkerId id, byte[] body) {
        JsonNode fields = Json.read(body);
        UNUSED_TEXT_FIELDS.forEach(name -> decodeText(fields, name));
        UNUSED_INTEGER_FIELDS.forEach(name -> decodeInteger(fields, name));
        String state = decodeText(fields, "state");
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw malformed("state");
        }
        WorkerDescription worker =
                new WorkerDescription(
                        IncarnationFormat.decode(id, fields),
                        decodeText(fields, "service"),
                        decodeAddress(fields),
                        decodeCapacity(fields.path("capacity")),
                        decodeHall(fields),
                        decodeLabels(fields.path("labels")),
                        state.equals(DRAINING),
                        fields.has("remaining_ms") ? decodeInteger(fields, "remaining_ms") : 0);
        return new Heartbeat(worker, decodeInteger(fields, "seq"));
    }

    // -----------------------------------------------------------------------
    private static String decodeText(JsonNode fields, String name) {
        JsonNode field = fields.path(name);
        if (!field.isTextual() || field.textValue().isEmpty()) {
            throw malformed(name);
        }
        return field.textValue();
    }

    private static long decodeInteger(JsonNode fields, String name) {
        JsonNode field = fields.path(name);
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < 0) {
            throw malformed(name);
        }
        return field.longValue();
    }

    private static String decodeAddress(JsonNode fields) {
        String address = decodeText(fields, "address");
        if (!ADDRESS.matcher(address).matches()) {
            throw malformed("address");
        }
        return address;
    }

    private static Resources decodeCapacity(JsonNode capacity) {
        return new Resources(
                decodeInteger(capacity, "cpu"),
                decodeInteger(capacity, "mem_mb"),
                decodeInteger(capacity, "gpu"));
    }

    private static HallId decodeHall(JsonNode fields) {
        String name = decodeText(fields, "zone");
        try {
            return HallId.parse(name);
        } catch (StandlinkException invalidName) {
            throw malformed("zone");
        }
    }

    private static List<String> decodeLabels(JsonNode field) {
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
                "field " + field + " of a heartbeat is missing, of the wrong type or invalid",
                "check what the worker sends");
    }
}
