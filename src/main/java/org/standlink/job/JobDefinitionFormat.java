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
package org.standlink.job;

import org.standlink.JobId;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/**
 * The binary format of job definitions, without data binding: arrays of the records' components in
 * their order.
 *
 * <p>{@code JobDefinitionFormat} is thread-safe and immutable.
 */
public final class JobDefinitionFormat {

    private JobDefinitionFormat() {}

    /** The format of {@link JobDefinition}. */
    public static final PackFormat<JobDefinition> JOB = new JobFormat();

    private static final class JobFormat implements PackFormat<JobDefinition> {

        @Override
        public void write(PackOutput output, JobDefinition value) {
            output.array(8)
                    .text(value.id())
                    .text(value.queue())
                    .text(value.specification())
                    .list(value.steps(), STEP)
                    .number(value.firstStartMillis())
                    .number(value.intervalMillis())
                    .number(value.repetitions())
                    // Not a component; data binding wrote it and stored records contain it.
                    .flag(value.isTimed());
        }

        @Override
        public JobDefinition read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            JobDefinition value =
                    new JobDefinition(
                            parseJobId(parts.text()),
                            parts.text(),
                            parts.text(),
                            parts.list(STEP),
                            parts.number(),
                            parts.number(),
                            parts.integer());
            parts.end();
            return value;
        }
    }

    private static final PackFormat<StepDefinition> STEP = new StepFormat();

    private static final class StepFormat implements PackFormat<StepDefinition> {

        @Override
        public void write(PackOutput output, StepDefinition value) {
            output.array(16)
                    .number(value.count())
                    .value(value.demand(), RunFormat.RESOURCES)
                    .number(value.estimatedMillis())
                    .list(value.after(), INDEX)
                    .flag(value.checkpointing())
                    .flag(value.gang())
                    .flag(value.rackLocal())
                    .text(value.requiredLabel())
                    .text(value.dataRack())
                    .number(value.maxPerWorker())
                    .flag(value.speculative())
                    .flag(value.longRunning())
                    .text(value.image())
                    .decimal(value.targetMillis())
                    .flag(value.bestEffort())
                    .number(value.maxUnavailable());
        }

        @Override
        public StepDefinition read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            StepDefinition value =
                    new StepDefinition(
                            parts.integer(),
                            parts.value(RunFormat.RESOURCES),
                            parts.number(),
                            parts.list(INDEX),
                            parts.flag(),
                            parts.flag(),
                            parts.flag(),
                            parts.text(),
                            parts.text(),
                            parts.integer(),
                            parts.flag(),
                            parts.flag(),
                            parts.text(),
                            parts.decimal(),
                            parts.flag(),
                            parts.integer());
            parts.end();
            return value;
        }
    }

    private static final PackFormat<Integer> INDEX = new IndexFormat();

    private static final class IndexFormat implements PackFormat<Integer> {

        @Override
        public void write(PackOutput output, Integer value) {
            output.number(value);
        }

        @Override
        public Integer read(PackInput input) {
            return Math.toIntExact(input.number());
        }
    }

    private static JobId parseJobId(String text) {
        return text == null ? null : JobId.parse(text);
    }
}
