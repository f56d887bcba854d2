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

/** Tests that a life of a worker is its id and its birth together. */
public class TestWorkerLife {

    private static final WorkerId ID = WorkerId.parse("i-1");

    @Property
    public void whatIsWrittenIsReadAgain(@ForAll @LongRange(min = 0) long born) {
        WorkerLife life = WorkerLife.of(ID, born);
        assertEquals(life, WorkerLife.parse(life.toString()));
        assertEquals(life.hashCode(), WorkerLife.parse(life.toString()).hashCode());
        assertTrue(life.isKnown());
    }

    @Test
    public void livesOfOneWorkerDifferByTheirBirths() {
        WorkerLife first = WorkerLife.of(ID, 1000);
        WorkerLife second = WorkerLife.of(ID, 2000);
        assertNotEquals(first, second);
        assertTrue(second.isOtherLifeOf(first));
        assertTrue(second.isBornAfter(first));
        assertFalse(first.isOtherLifeOf(first));
        assertFalse(first.isOtherLifeOf(WorkerLife.of(WorkerId.parse("i-2"), 2000)));
    }

    @Test
    public void aLifeWithoutABirthIsNoneThatIsKnown() {
        WorkerLife old = WorkerLife.parse("i-1");
        assertFalse(old.isKnown());
        assertEquals("i-1", old.toString());
        assertTrue(old.isOtherLifeOf(WorkerLife.of(ID, 0)));
    }

    @Test
    public void whatIsNoLifeIsRefused() {
        for (String text : List.of("", "@", "@5", "i-1@", "i-1@-1", "i-1@x", "i-1@1.5", "I@1")) {
            StandlinkException refused =
                    assertThrows(
                            StandlinkException.class, () -> WorkerLife.parse(text), () -> text);
            assertEquals(ErrorCode.INVALID_IDENTIFIER, refused.getCode());
        }
        assertThrows(StandlinkException.class, () -> WorkerLife.parse(null));
        assertThrows(StandlinkException.class, () -> WorkerLife.of(ID, -1));
    }
}
