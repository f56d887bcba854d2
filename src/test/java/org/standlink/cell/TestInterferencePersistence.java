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

/** Tests that a new leader takes over what has been learned of images. */
public class TestInterferencePersistence {

    private final FakeClock clock = new FakeClock();
    private final InterferenceTable harm = new InterferenceTable();
    private final InterferencePersistence keeper = new InterferencePersistence(harm, clock);

    @Test
    public void newLeaderRestoresTheEstimates() {
        harm.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.9)));
        clock.advance(5000);
        List<KeyedRecord> kept = keeper.takeChanges();
        InterferenceTable other = new InterferenceTable();
        new InterferencePersistence(other, clock).restore(kept);
        assertEquals(0.9, other.get("s", "b"), 0.01);
        assertEquals(InterferenceTable.INITIAL_ESTIMATE, other.get("s", "c"));
    }

    @Test
    public void estimatesCauseNoAppendAndAreWrittenAtIntervals() {
        harm.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.9)));
        assertFalse(keeper.hasChanges());
        assertTrue(keeper.takeChanges().isEmpty());
        clock.advance(5000);
        assertEquals(1, keeper.takeChanges().size());
        clock.advance(5000);
        assertTrue(keeper.takeChanges().isEmpty(), "nothing has changed");
    }
}
