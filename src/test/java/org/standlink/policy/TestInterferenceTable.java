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
package org.standlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that an interfering image is distinguished from images that only ran beside it. */
public class TestInterferenceTable {

    private final InterferenceTable table = new InterferenceTable();

    @Test
    public void raisesTheEstimateOfASingleImage() {
        table.observe("s", 3.0, Map.of("f", 2000L));
        assertEquals(0.7, table.get("s", "f"), 1e-9);
        assertEquals(InterferenceTable.INITIAL_ESTIMATE, table.get("other", "f"), 1e-9);
    }

    @Test
    public void lowersTheEstimateWhileTheTailIsShort() {
        for (int i = 0; i < 10; i++) {
            table.observe("s", 0.5, Map.of("f", 2000L));
        }
        assertTrue(table.get("s", "f") < InterferenceTable.LOW_INTERFERENCE);
    }

    @Test
    public void distinguishesTheInterferingImageOfTwo() {
        for (int i = 0; i < 20; i++) {
            table.observe("s", 4.0, Map.of("bad", 2000L, "good", 2000L));
            table.observe("s", 0.4, Map.of("good", 2000L));
        }
        assertTrue(table.get("s", "bad") > 0.9);
        assertTrue(table.get("s", "good") < InterferenceTable.HIGH_INTERFERENCE);
    }

    @Test
    public void ignoresImagesThatUseFewProcessors() {
        table.observe("s", 4.0, Map.of("idle", 100L, "busy", 2000L));
        table.observe("s", 0.4, Map.of("idle", 100L));
        assertEquals(InterferenceTable.INITIAL_ESTIMATE, table.get("s", "idle"), 1e-9);
    }

    @Test
    public void putAllReplacesEstimates() {
        table.putAll(List.of(new InterferenceTable.Entry("s", "f", 0.9)));
        assertEquals(0.9, table.get("s", "f"), 1e-9);
        assertEquals(List.of(new InterferenceTable.Entry("s", "f", 0.9)), table.list());
    }

    @Test
    public void versionIncreasesOnlyWithListedEstimates() {
        InterferenceTable table = new InterferenceTable();
        table.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.5)));
        long version = table.getVersion();
        table.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.51)));
        assertEquals(version, table.getVersion());
        table.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.9)));
        assertEquals(version + 1, table.getVersion());
    }
}
