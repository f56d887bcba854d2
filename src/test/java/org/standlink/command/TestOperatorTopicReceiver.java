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
package org.standlink.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.HallId;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.store.KeyedRecord;

/** Tests that records of the operator's topic are applied, and malformed ones skipped. */
public class TestOperatorTopicReceiver {

    private static final HallId NORTH = HallId.parse("north");
    private static final HallId SOUTH = HallId.parse("south");

    private final List<Configuration> configurations = new ArrayList<>();
    private final OperatorTopicReceiver receiver = new OperatorTopicReceiver(configurations::add);

    private static KeyedRecord record(String key, String value) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void aHallIsEvacuatedUntilItsKeyIsRemoved() {
        receiver.receive(record("evacuate/north", "{}"));
        receiver.receive(record("evacuate/south", "{}"));
        assertEquals(EvacuatedHalls.of(List.of(NORTH, SOUTH)), receiver.getEvacuatedHalls());
        receiver.receive(record("evacuate/north", ""));
        assertFalse(receiver.getEvacuatedHalls().contains(NORTH));
        assertTrue(receiver.getEvacuatedHalls().contains(SOUTH));
    }

    @Test
    public void aHallRemovedTwiceOrNeverEvacuatedIsInUse() {
        receiver.receive(record("evacuate/north", ""));
        receiver.receive(record("evacuate/north", "{}"));
        receiver.receive(record("evacuate/north", ""));
        receiver.receive(record("evacuate/north", ""));
        assertEquals(EvacuatedHalls.NONE, receiver.getEvacuatedHalls());
    }

    /** The record of the removal was dropped from the history; only the missing key shows it. */
    @Test
    public void aHallMissingFromTheNewestRecordsIsInUse() {
        receiver.receive(record("evacuate/north", "{}"));
        receiver.receiveNewest(List.of(record("evacuate/south", "{}")));
        assertEquals(EvacuatedHalls.of(List.of(SOUTH)), receiver.getEvacuatedHalls());
    }

    @Test
    public void malformedRecordsAreSkipped() {
        receiver.receiveNewest(
                List.of(
                        record("evacuate/", "{}"),
                        record("config", "{\"version\":[oops"),
                        record("evacuate/North Hall", "{}"),
                        record("evacuate/south", "{}"),
                        record("config", "{\"version\":3}")));
        receiver.receive(record("evacuate/No Hall", "{}"));
        assertEquals(EvacuatedHalls.of(List.of(SOUTH)), receiver.getEvacuatedHalls());
        assertEquals(List.of(3L), configurations.stream().map(Configuration::version).toList());
    }

    @Test
    public void recordsWithOtherKeysAreIgnored() {
        receiver.receive(record("wave/1", "{}"));
        receiver.receive(record("evacuated/north", "{}"));
        assertEquals(EvacuatedHalls.NONE, receiver.getEvacuatedHalls());
        assertEquals(List.of(), configurations);
    }
}
