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

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.store.KeyedRecord;
import org.standlink.store.ReadResult;

/** Tests the binary format of records against literal bytes. */
public class TestRecordFormat {

    @Test
    public void encodesLengthKeyAndValue() {
        byte[] bytes =
                HttpStore.RecordFormat.encode(
                        List.of(
                                new KeyedRecord("ab", new byte[] {7, 8}),
                                new KeyedRecord("c", new byte[0])));
        assertArrayEquals(new byte[] {0, 0, 0, 5, 2, 'a', 'b', 7, 8, 0, 0, 0, 2, 1, 'c'}, bytes);
    }

    @Test
    public void decodesTheAnswerOfARead() {
        byte[] records = {0, 0, 0, 5, 2, 'a', 'b', 7, 8, 0, 0, 0, 2, 1, 'c'};
        ByteBuffer body = ByteBuffer.allocate(16 + records.length);
        body.putLong(42).putLong(0).put(records);
        ReadResult result = HttpStore.RecordFormat.decodeReadAnswer(body.array(), 40);
        assertEquals(42, result.nextOffset());
        assertEquals(new KeyedRecord("ab", new byte[] {7, 8}), result.records().get(0));
        assertEquals(new KeyedRecord("c", new byte[0]), result.records().get(1));
    }
}
