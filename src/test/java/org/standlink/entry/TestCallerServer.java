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
package org.standlink.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/** Tests the parsing of request headers by {@link CallerServer}. */
public class TestCallerServer {

    @Test
    public void parsesTheWaitHeader() {
        assertEquals(0, CallerServer.parseWaitMillis(null));
        assertEquals(250, CallerServer.parseWaitMillis(" 250 "));
    }

    @ParameterizedTest
    @ValueSource(strings = {"zzz", "-5", "0", "1.5", "3600001", ""})
    public void rejectsAnInvalidWaitHeaderWithItsRange(String header) {
        StandlinkException rejected =
                assertThrows(StandlinkException.class, () -> CallerServer.parseWaitMillis(header));
        assertEquals(ErrorCode.INVALID_MESSAGE, rejected.getCode());
        assertTrue(rejected.getMessage().contains(CallerServer.WAIT_HEADER));
        assertTrue(rejected.getMessage().contains("milliseconds"));
    }
}
