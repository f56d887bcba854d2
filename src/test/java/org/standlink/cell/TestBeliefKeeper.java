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
import org.standlink.policy.HarmTable;
import org.standlink.store.KeyedRecord;

/** Tests that a new leader takes over what has been learned of images. */
public class TestBeliefKeeper {

    private final FakeClock clock = new FakeClock();
    private final HarmTable harm = new HarmTable();
    private final BeliefKeeper keeper = new BeliefKeeper(harm, clock);

    @Test
    public void aNewLeaderBelievesWhatTheOldOneDid() {
        harm.tell(List.of(new HarmTable.Entry("s", "b", 0.9)));
        clock.advance(5000);
        List<KeyedRecord> kept = keeper.takeChanges();
        HarmTable other = new HarmTable();
        new BeliefKeeper(other, clock).restore(kept);
        assertEquals(0.9, other.get("s", "b"), 0.01);
        assertEquals(HarmTable.UNKNOWN, other.get("s", "c"));
    }

    @Test
    public void beliefsCauseNoAppendAndAreWrittenNowAndThenOnly() {
        harm.tell(List.of(new HarmTable.Entry("s", "b", 0.9)));
        assertFalse(keeper.hasChanges());
        assertTrue(keeper.takeChanges().isEmpty());
        clock.advance(5000);
        assertEquals(1, keeper.takeChanges().size());
        clock.advance(5000);
        assertTrue(keeper.takeChanges().isEmpty(), "nothing has changed");
    }
}
