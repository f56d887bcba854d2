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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;

/** Tests that a heartbeat is accepted only if it is complete and its fields are of their types. */
public class TestHeartbeatFormat {

    private static final WorkerId ID = WorkerId.parse("i-1");

    private static final String COMPLETE_HEARTBEAT =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":"
                    + "{\"cpu\":16000,\"mem_mb\":100,\"gpu\":0},\"labels\":[\"a\"],\"born\":1784553600123,\"seq\":4}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode completeHeartbeat() {
        return (ObjectNode) Json.read(bytes(COMPLETE_HEARTBEAT));
    }

    private static void assertRejected(JsonNode body) {
        assertRejected(Json.write(body), body.toString());
    }

    private static void assertRejected(byte[] body, String description) {
        StandlinkException rejected =
                assertThrows(
                        StandlinkException.class,
                        () -> HeartbeatFormat.decode(ID, body),
                        description);
        assertEquals(ErrorCode.INVALID_MESSAGE, rejected.getCode());
    }

    private static List<String> fields() {
        List<String> names = new ArrayList<>();
        completeHeartbeat().fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    public void completeHeartbeatIsDecoded() {
        HeartbeatFormat.Heartbeat heartbeat = HeartbeatFormat.decode(ID, bytes(COMPLETE_HEARTBEAT));
        assertEquals(4, heartbeat.sequence());
        assertEquals(WorkerIncarnation.of(ID, 1784553600123L), heartbeat.worker().incarnation());
        assertEquals("10.0.0.1:80", heartbeat.worker().address());
        assertEquals(16000, heartbeat.worker().capacity().milliCores());
        assertEquals(List.of("a"), heartbeat.worker().labels());
    }

    @Test
    public void unknownFieldsAreIgnored() {
        ObjectNode body =
                completeHeartbeat().put("newer", 1).put("state", "draining").put("remaining_ms", 5);
        HeartbeatFormat.Heartbeat heartbeat = HeartbeatFormat.decode(ID, Json.write(body));
        assertTrue(heartbeat.worker().draining());
        assertEquals(5, heartbeat.worker().remainingMillis());
    }

    @Test
    public void missingFieldsAreRejected() {
        for (String name : fields()) {
            if (!name.equals("born")) {
                assertRejected(completeHeartbeat().without(name));
            }
        }
        for (String part : List.of("cpu", "mem_mb", "gpu")) {
            ObjectNode body = completeHeartbeat();
            ((ObjectNode) body.get("capacity")).remove(part);
            assertRejected(body);
        }
    }

    /** Workers that use a new id for each incarnation send no start time. */
    @Test
    public void workerWithoutStartTimeIsIdentifiedByItsId() {
        HeartbeatFormat.Heartbeat heartbeat =
                HeartbeatFormat.decode(ID, Json.write(completeHeartbeat().without("born")));
        assertEquals(WorkerIncarnation.withoutStartTime(ID), heartbeat.worker().incarnation());
    }

    @Test
    public void fieldsOfAnotherTypeAreRejected() {
        for (String name : fields()) {
            boolean number = completeHeartbeat().get(name).isNumber();
            assertRejected(completeHeartbeat().putNull(name));
            assertRejected(completeHeartbeat().put(name, true));
            assertRejected(
                    number ? completeHeartbeat().put(name, "8") : completeHeartbeat().put(name, 8));
            assertRejected(completeHeartbeat().put(name, -1.5));
            assertRejected(completeHeartbeat().set(name, completeHeartbeat()));
        }
        assertRejected(completeHeartbeat().put("remaining_ms", "5"));
    }

    @Test
    public void invalidValuesAreRejected() {
        assertRejected(completeHeartbeat().put("state", "asleep"));
        assertRejected(completeHeartbeat().put("service", ""));
        assertRejected(completeHeartbeat().put("address", "10.0.0.1"));
        assertRejected(completeHeartbeat().put("address", "http://10.0.0.1:80/"));
        assertRejected(completeHeartbeat().put("seq", -1));
        assertRejected(completeHeartbeat().put("born", -1));
        assertRejected(completeHeartbeat().put("born", 17.0));
        assertRejected(completeHeartbeat().put("born", new BigInteger("9223372036854775808")));
        assertRejected(bytes("[]"), "a list");
        assertRejected(bytes(""), "nothing");
        assertRejected(bytes("[".repeat(5000)), "nested");
    }

    @Property(tries = 300)
    public void truncatedHeartbeatsAreRejected(@ForAll @IntRange(max = 200) int length) {
        byte[] all = bytes(COMPLETE_HEARTBEAT);
        assertRejected(Arrays.copyOf(all, Math.min(length, all.length - 1)), "cut at " + length);
    }

    @Property(tries = 500)
    public void arbitraryBytesCauseNoOtherError(@ForAll byte[] body) {
        try {
            HeartbeatFormat.decode(ID, body);
        } catch (StandlinkException rejected) {
            assertEquals(ErrorCode.INVALID_MESSAGE, rejected.getCode());
        }
    }
}
