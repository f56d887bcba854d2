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
package org.standlink.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/** Tests that an incarnation of a worker is identified by its id together with its start time. */
public class TestWorkerIncarnation {

    private static final WorkerId ID = WorkerId.parse("i-1");

    @Property
    public void textFormIsParsedAgain(@ForAll @LongRange(min = 0) long startMillis) {
        WorkerIncarnation incarnation = WorkerIncarnation.of(ID, startMillis);
        assertEquals(incarnation, WorkerIncarnation.parse(incarnation.toString()));
        assertEquals(
                incarnation.hashCode(), WorkerIncarnation.parse(incarnation.toString()).hashCode());
        assertTrue(incarnation.hasStartTime());
    }

    @Test
    public void incarnationsOfOneWorkerDifferByTheirStartTimes() {
        WorkerIncarnation first = WorkerIncarnation.of(ID, 1000);
        WorkerIncarnation second = WorkerIncarnation.of(ID, 2000);
        assertNotEquals(first, second);
        assertTrue(second.isOtherIncarnationOf(first));
        assertTrue(second.isStartedAfter(first));
        assertFalse(first.isOtherIncarnationOf(first));
        assertFalse(first.isOtherIncarnationOf(WorkerIncarnation.of(WorkerId.parse("i-2"), 2000)));
    }

    @Test
    public void incarnationWithoutStartTimeIsRecognised() {
        WorkerIncarnation withoutStartTime = WorkerIncarnation.parse("i-1");
        assertFalse(withoutStartTime.hasStartTime());
        assertEquals("i-1", withoutStartTime.toString());
        assertTrue(withoutStartTime.isOtherIncarnationOf(WorkerIncarnation.of(ID, 0)));
    }

    @Test
    public void malformedTextIsRefused() {
        for (String text : List.of("", "@", "@5", "i-1@", "i-1@-1", "i-1@x", "i-1@1.5", "I@1")) {
            StandlinkException exception =
                    assertThrows(
                            StandlinkException.class,
                            () -> WorkerIncarnation.parse(text),
                            () -> text);
            assertEquals(ErrorCode.INVALID_IDENTIFIER, exception.getCode());
        }
        assertThrows(StandlinkException.class, () -> WorkerIncarnation.parse(null));
        assertThrows(StandlinkException.class, () -> WorkerIncarnation.of(ID, -1));
    }
}
