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

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.election.Claim;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.JobState;
import org.standlink.job.RandomValues;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;
import org.standlink.store.MessagePackCodec;

/**
 * Tests that stored records are encoded and decoded without data binding as with it, since leaders
 * of both kinds read each other's records.
 */
public class TestJobRecordFormat {

    private static <T> void assertSame(T value, Class<T> type, PackFormat<T> format) {

        byte[] bytes = MessagePackCodec.encode(value);
        assertArrayEquals(bytes, MessagePackCodec.encode(value, format), value::toString);
        assertEquals(MessagePackCodec.decode(bytes, type), format.read(new PackInput(bytes)));
    }

    @Property
    void definitionsAreThoseOfDataBinding(@ForAll long seed) {
        JobDefinition value = new RandomValues(new Random(seed)).definition();
        assertSame(value, JobDefinition.class, JobDefinitionFormat.JOB);
    }

    @Property
    void statesAreThoseOfDataBinding(@ForAll long seed) {
        RandomValues values = new RandomValues(new Random(seed));
        JobRecord value =
                new JobRecord(
                        values.number(),
                        values.constant(JobState.class),
                        values.list(() -> values.orNull(() -> task(values))),
                        values.number(),
                        values.integer(),
                        values.orNull(
                                () ->
                                        values.list(
                                                () ->
                                                        new RepetitionRecord(
                                                                values.integer(),
                                                                List.of(task(values))))));
        assertSame(value, JobRecord.class, JobRecordFormat.STATE);
    }

    private static SubmittedTaskRecord task(RandomValues values) {
        return new SubmittedTaskRecord(
                values.integer(),
                values.integer(),
                values.integer(),
                values.flag(),
                values.text(),
                values.text(),
                values.integer(),
                values.integer(),
                values.integer(),
                values.flag());
    }

    @Property
    void finalStatesAreThoseOfDataBinding(@ForAll long seed) {
        RandomValues values = new RandomValues(new Random(seed));
        FinishedJobRecord value =
                new FinishedJobRecord(
                        values.number(),
                        values.constant(JobState.class),
                        values.text(),
                        values.number());
        assertSame(value, FinishedJobRecord.class, JobRecordFormat.FINISHED);
    }

    @Property
    void claimsAreThoseOfDataBinding(@ForAll long seed) {
        RandomValues values = new RandomValues(new Random(seed));
        Claim claim =
                new Claim(
                        Epoch.of(values.positive()),
                        values.flag() ? "" : "10.0.0.1:7000",
                        Incarnation.of(values.number()));
        byte[] bytes = MessagePackCodec.encode(claim);
        assertArrayEquals(bytes, claim.toRecord().value());
        assertEquals(claim, Claim.of(claim.toRecord()));
    }

    @Test
    void aRecordWithoutLaterComponentsIsDecodedAsByDataBinding() {
        byte[] bytes = new PackOutput().array(2).number(3).text("RUNNING").toBytes();
        JobRecord expected = MessagePackCodec.decode(bytes, JobRecord.class);
        assertEquals(
                expected, MessagePackCodec.decode(bytes, JobRecord.class, JobRecordFormat.STATE));
    }

    @Test
    void malformedRecordsAreInvalid() {
        byte[] bytes = new PackOutput().array(2).flag(true).flag(true).toBytes();
        assertThrows(
                StandlinkException.class,
                () -> MessagePackCodec.decode(bytes, JobRecord.class, JobRecordFormat.STATE));
    }
}
