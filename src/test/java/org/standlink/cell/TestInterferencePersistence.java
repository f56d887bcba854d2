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
package org.standlink.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.store.KeyedRecord;

/** Tests that a new leader restores the interference estimates of the previous one. */
public class TestInterferencePersistence {

    private final FakeClock clock = new FakeClock();
    private final InterferenceTable interference = new InterferenceTable();
    private final InterferencePersistence persistence =
            new InterferencePersistence(interference, clock);

    @Test
    public void newLeaderRestoresTheEstimates() {
        interference.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.9)));
        clock.advance(5000);
        List<KeyedRecord> records = persistence.takeChanges();
        InterferenceTable restored = new InterferenceTable();
        new InterferencePersistence(restored, clock).restore(records);
        assertEquals(0.9, restored.get("s", "b"), 0.01);
        assertEquals(InterferenceTable.INITIAL_ESTIMATE, restored.get("s", "c"));
    }

    @Test
    public void estimatesCauseNoAppendAndAreWrittenAtIntervals() {
        interference.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.9)));
        assertFalse(persistence.hasChanges());
        assertTrue(persistence.takeChanges().isEmpty());
        clock.advance(5000);
        assertEquals(1, persistence.takeChanges().size());
        clock.advance(5000);
        assertTrue(persistence.takeChanges().isEmpty(), "no estimate has changed");
    }
}
