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

import org.standlink.job.JobState;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/**
 * The binary formats of the stored states of jobs, without data binding: arrays of the records'
 * components in their order.
 *
 * <p>{@code JobRecordFormat} is thread-safe and immutable.
 */
final class JobRecordFormat {

    private JobRecordFormat() {}

    /** The format of {@link JobRecord}. */
    static final PackFormat<JobRecord> STATE = new StateFormat();

    private static final class StateFormat implements PackFormat<JobRecord> {

        @Override
        public void write(PackOutput output, JobRecord value) {
            output.array(6)
                    .number(value.order())
                    .name(value.state())
                    .list(value.tasks(), TASK)
                    .number(value.acceptedWallMillis())
                    .number(value.nextRepetition())
                    .list(value.repetitions(), REPETITION);
        }

        @Override
        public JobRecord read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            JobRecord value =
                    new JobRecord(
                            parts.number(),
                            parseState(parts.text()),
                            parts.list(TASK),
                            parts.number(),
                            parts.integer(),
                            parts.list(REPETITION));
            parts.end();
            return value;
        }
    }

    /** The format of {@link FinishedJobRecord}. */
    static final PackFormat<FinishedJobRecord> FINISHED = new FinishedFormat();

    private static final class FinishedFormat implements PackFormat<FinishedJobRecord> {

        @Override
        public void write(PackOutput output, FinishedJobRecord value) {
            output.array(4)
                    .number(value.order())
                    .name(value.state())
                    .text(value.queue())
                    .number(value.acceptedWallMillis());
        }

        @Override
        public FinishedJobRecord read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            FinishedJobRecord value =
                    new FinishedJobRecord(
                            parts.number(), parseState(parts.text()), parts.text(), parts.number());
            parts.end();
            return value;
        }
    }

    private static final PackFormat<RepetitionRecord> REPETITION = new RepetitionFormat();

    private static final class RepetitionFormat implements PackFormat<RepetitionRecord> {

        @Override
        public void write(PackOutput output, RepetitionRecord value) {
            output.array(2).number(value.number()).list(value.tasks(), TASK);
        }

        @Override
        public RepetitionRecord read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            RepetitionRecord value = new RepetitionRecord(parts.integer(), parts.list(TASK));
            parts.end();
            return value;
        }
    }

    private static final PackFormat<SubmittedTaskRecord> TASK = new TaskFormat();

    private static final class TaskFormat implements PackFormat<SubmittedTaskRecord> {

        @Override
        public void write(PackOutput output, SubmittedTaskRecord value) {
            output.array(10)
                    .number(value.lastRun())
                    .number(value.failures())
                    .number(value.lastFailedRun())
                    .flag(value.done())
                    .text(value.worker())
                    .text(value.checkpoint())
                    .number(value.crashes())
                    .number(value.lateCrashes())
                    .number(value.suspicion())
                    .flag(value.startInDoubt());
        }

        @Override
        public SubmittedTaskRecord read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            SubmittedTaskRecord value =
                    new SubmittedTaskRecord(
                            parts.integer(),
                            parts.integer(),
                            parts.integer(),
                            parts.flag(),
                            parts.text(),
                            parts.text(),
                            parts.integer(),
                            parts.integer(),
                            parts.integer(),
                            parts.flag());
            parts.end();
            return value;
        }
    }

    private static JobState parseState(String text) {
        return text == null ? null : JobState.valueOf(text);
    }
}
