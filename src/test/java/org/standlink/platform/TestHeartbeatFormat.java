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

/** Tests that a heartbeat counts only if it is whole and of the types that are agreed on. */
public class TestHeartbeatFormat {

    private static final WorkerId ID = WorkerId.parse("i-1");

    private static final String WHOLE =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":"
                    + "{\"cpu\":16000,\"mem_mb\":100,\"gpu\":0},\"labels\":[\"a\"],\"born\":1784553600123,\"seq\":4}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode whole() {
        return (ObjectNode) Json.read(bytes(WHOLE));
    }

    private static void assertRefused(JsonNode body) {
        assertRefused(Json.write(body), body.toString());
    }

    private static void assertRefused(byte[] body, String told) {
        StandlinkException refused =
                assertThrows(
                        StandlinkException.class, () -> HeartbeatFormat.decode(ID, body), told);
        assertEquals(ErrorCode.INVALID_MESSAGE, refused.getCode());
    }

    private static List<String> fields() {
        List<String> names = new ArrayList<>();
        whole().fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    public void completeHeartbeatIsDecoded() {
        HeartbeatFormat.Heartbeat read = HeartbeatFormat.decode(ID, bytes(WHOLE));
        assertEquals(4, read.sequence());
        assertEquals(WorkerIncarnation.of(ID, 1784553600123L), read.worker().incarnation());
        assertEquals("10.0.0.1:80", read.worker().address());
        assertEquals(16000, read.worker().capacity().milliCores());
        assertEquals(List.of("a"), read.worker().labels());
    }

    @Test
    public void unknownFieldsAreIgnored() {
        ObjectNode body = whole().put("newer", 1).put("state", "draining").put("remaining_ms", 5);
        HeartbeatFormat.Heartbeat read = HeartbeatFormat.decode(ID, Json.write(body));
        assertTrue(read.worker().draining());
        assertEquals(5, read.worker().remainingMillis());
    }

    @Test
    public void missingFieldsAreRejected() {
        for (String name : fields()) {
            if (!name.equals("born")) {
                assertRefused(whole().without(name));
            }
        }
        for (String part : List.of("cpu", "mem_mb", "gpu")) {
            ObjectNode body = whole();
            ((ObjectNode) body.get("capacity")).remove(part);
            assertRefused(body);
        }
    }

    /** Workers that have another id in each life tell none. */
    @Test
    public void workerWithoutStartTimeIsIdentifiedByItsId() {
        HeartbeatFormat.Heartbeat read =
                HeartbeatFormat.decode(ID, Json.write(whole().without("born")));
        assertEquals(WorkerIncarnation.withoutStartTime(ID), read.worker().incarnation());
    }

    @Test
    public void fieldsOfAnotherTypeAreRejected() {
        for (String name : fields()) {
            boolean number = whole().get(name).isNumber();
            assertRefused(whole().putNull(name));
            assertRefused(whole().put(name, true));
            assertRefused(number ? whole().put(name, "8") : whole().put(name, 8));
            assertRefused(whole().put(name, -1.5));
            assertRefused(whole().set(name, whole()));
        }
        assertRefused(whole().put("remaining_ms", "5"));
    }

    @Test
    public void invalidValuesAreRejected() {
        assertRefused(whole().put("state", "asleep"));
        assertRefused(whole().put("service", ""));
        assertRefused(whole().put("address", "10.0.0.1"));
        assertRefused(whole().put("address", "http://10.0.0.1:80/"));
        assertRefused(whole().put("seq", -1));
        assertRefused(whole().put("born", -1));
        assertRefused(whole().put("born", 17.0));
        assertRefused(whole().put("born", new BigInteger("9223372036854775808")));
        assertRefused(bytes("[]"), "a list");
        assertRefused(bytes(""), "nothing");
        assertRefused(bytes("[".repeat(5000)), "nested");
    }

    @Property(tries = 300)
    public void truncatedHeartbeatsAreRejected(@ForAll @IntRange(max = 200) int length) {
        byte[] all = bytes(WHOLE);
        assertRefused(Arrays.copyOf(all, Math.min(length, all.length - 1)), "cut at " + length);
    }

    @Property(tries = 500)
    public void arbitraryBytesCauseNoOtherError(@ForAll byte[] body) {
        try {
            HeartbeatFormat.decode(ID, body);
        } catch (StandlinkException refused) {
            assertEquals(ErrorCode.INVALID_MESSAGE, refused.getCode());
        }
    }
}
