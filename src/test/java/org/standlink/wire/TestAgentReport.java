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
package org.standlink.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/** Tests that older and newer programs can read reports with and without runs in doubt. */
public class TestAgentReport {

    private static final RunId RUN = new RunId(TaskName.parse("j.0.0.0"), 1);

    private static byte[] encode(List<RunId> inDoubt) {
        AgentReport report =
                new AgentReport(
                        "node",
                        "a:1",
                        Incarnation.of(1),
                        1,
                        Epoch.of(1),
                        LeaseGeneration.of(1),
                        false,
                        List.of(),
                        List.of(),
                        inDoubt);
        return FrameCodec.encode(new Frame(1, false, report));
    }

    private static List<RunId> decode(byte[] bytes) {
        return ((AgentReport) FrameCodec.decode(bytes).message()).inDoubt();
    }

    @Test
    public void runsInDoubtAreEncoded() {
        assertEquals(List.of(RUN), decode(encode(List.of(RUN))));
    }

    @Test
    public void aReportWithoutRunsInDoubtIsEncodedAsByOlderPrograms() {
        byte[] bytes = encode(List.of());
        assertFalse(new String(bytes, StandardCharsets.ISO_8859_1).contains("inDoubt"));
        assertTrue(decode(bytes).isEmpty());
    }
}
