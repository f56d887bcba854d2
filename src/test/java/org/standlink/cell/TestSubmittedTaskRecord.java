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

import com.fasterxml.jackson.annotation.JsonFormat;
import org.junit.jupiter.api.Test;
import org.standlink.store.MessagePackCodec;

/** Tests that records of other versions can be read: components may only be added at the end. */
public class TestSubmittedTaskRecord {

    /** The record as written by an earlier version. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record EarlierRecord(
            int lastRun,
            int failures,
            int lastFailedRun,
            boolean done,
            String worker,
            String checkpoint) {}

    @Test
    public void recordOfAnEarlierVersionCountsNoCrash() {
        byte[] bytes = MessagePackCodec.encode(new EarlierRecord(3, 1, 2, false, "i-1", "c"));
        assertEquals(
                new SubmittedTaskRecord(3, 1, 2, false, "i-1", "c", 0, 0, 0, false),
                MessagePackCodec.decode(bytes, SubmittedTaskRecord.class));
    }

    @Test
    public void earlierVersionIgnoresAddedParts() {
        byte[] bytes =
                MessagePackCodec.encode(
                        new SubmittedTaskRecord(3, 1, 2, false, "i-1", "c", 2, 1, 500, true));
        assertEquals(
                new EarlierRecord(3, 1, 2, false, "i-1", "c"),
                MessagePackCodec.decode(bytes, EarlierRecord.class));
    }
}
