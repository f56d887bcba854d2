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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.job.Configuration;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.store.KeyedRecord;

/** Tests the decoding of jobs and configurations. */
public class TestFormats {

    private static final JobId ID = JobId.parse("5c0e7a21d94b36f8");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static JobDefinition job(String text) {
        return JobFormat.decode(ID, "q", bytes(text));
    }

    @Test
    public void decodesAJob() {
        JobDefinition job =
                job(
                        "{\"spec\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
                                + "\"estimated_ms\":900,\"colocate\":\"r1-3\"},{\"count\":20,"
                                + "\"cpu\":2000,\"mem_mb\":1024,\"estimated_ms\":7000,"
                                + "\"after\":[0],\"checkpointing\":true}]}");
        assertEquals("(text)", job.specification());
        StepDefinition first = job.steps().get(0);
        assertEquals(4, first.count());
        assertEquals(new Resources(500, 256, 0), first.demand());
        assertEquals("r1-3", first.dataRack());
        assertEquals(List.of(), first.after());
        StepDefinition second = job.steps().get(1);
        assertEquals(List.of(0), second.after());
        assertTrue(second.checkpointing());
        assertEquals(1, job.repetitionCount());
    }

    @Test
    public void decodesEveryFieldOfAStep() {
        StepDefinition step =
                job("{\"spec\":\"\",\"start_at_ms\":5,\"interval_ms\":6,"
                                + "\"repeat_count\":7,\"steps\":[{\"count\":1,\"cpu\":1,"
                                + "\"mem_mb\":2,\"gpu\":3,\"gang_scheduled\":true,"
                                + "\"rack_local\":true,\"constraints\":\"a\","
                                + "\"anti_affinity\":4,\"speculative\":true,"
                                + "\"perpetual\":true,\"image\":\"i\",\"target_ms\":18,"
                                + "\"fills\":true,\"may_miss\":2}]}")
                        .steps()
                        .get(0);
        assertEquals(
                new StepDefinition(
                        1,
                        new Resources(1, 2, 3),
                        0,
                        List.of(),
                        false,
                        true,
                        true,
                        "a",
                        "",
                        4,
                        true,
                        true,
                        "i",
                        18,
                        true,
                        2),
                step);
        assertEquals(new Resources(0, 2, 3), step.requiredCapacity());
    }

    @Test
    public void rejectsInvalidJobs() {
        for (String invalid :
                List.of(
                        "not json",
                        "{}",
                        "{\"steps\":[]}",
                        "{\"steps\":[{\"after\":[0]}]}",
                        "{\"steps\":[{},{\"after\":[-1]}]}")) {
            assertThrows(StandlinkException.class, () -> job(invalid), invalid);
        }
    }

    @Test
    public void decodesAConfiguration() {
        String text =
                "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/l/\","
                        + "\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
                        + "\"priority\":2,\"service\":\"s\",\"max_attempts\":4,\"stretch\":1.5}],"
                        + "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
                        + "\"limits\":{\"max_body_bytes\":262144}}";
        Configuration configuration =
                ConfigurationFormat.decode(new KeyedRecord("config", bytes(text))).orElseThrow();
        assertEquals(
                new Configuration(
                        7,
                        List.of(new QueueDefinition("r", "h", "/l/", "s", 2, 4, 250, 1.5, false)),
                        List.of("s"),
                        262144),
                configuration);
    }

    @Test
    public void ignoresOtherRecordsOfTheOperator() {
        assertTrue(ConfigurationFormat.decode(new KeyedRecord("wave/1", bytes("{}"))).isEmpty());
        assertTrue(ConfigurationFormat.decode(new KeyedRecord("config", new byte[0])).isEmpty());
    }
}
