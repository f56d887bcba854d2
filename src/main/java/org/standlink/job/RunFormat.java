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

import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;
import org.standlink.pack.TextFormat;

/**
 * The binary formats of the values that describe workers and runs, without data binding: each is an
 * array of the record's components in their order.
 *
 * <p>{@code RunFormat} is thread-safe and immutable.
 */
public final class RunFormat {

    private RunFormat() {}

    /** The format of {@link Resources}. */
    public static final PackFormat<Resources> RESOURCES = new ResourcesFormat();

    private static final class ResourcesFormat implements PackFormat<Resources> {

        @Override
        public void write(PackOutput output, Resources value) {
            output.array(3)
                    .number(value.milliCores())
                    .number(value.memoryMegabytes())
                    .number(value.accelerators());
        }

        @Override
        public Resources read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            Resources value = new Resources(parts.number(), parts.number(), parts.number());
            parts.end();
            return value;
        }
    }

    /** The format of {@link RunId}. */
    public static final PackFormat<RunId> RUN = new RunIdFormat();

    private static final class RunIdFormat implements PackFormat<RunId> {

        @Override
        public void write(PackOutput output, RunId value) {
            output.array(2).text(value.task()).number(value.number());
        }

        @Override
        public RunId read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            RunId value = new RunId(parseTaskName(parts.text()), parts.integer());
            parts.end();
            return value;
        }
    }

    /** The format of {@link RunProgress}. */
    public static final PackFormat<RunProgress> PROGRESS = new ProgressFormat();

    private static final class ProgressFormat implements PackFormat<RunProgress> {

        @Override
        public void write(PackOutput output, RunProgress value) {
            output.array(4)
                    .value(value.run(), RUN)
                    .text(value.checkpoint())
                    .number(value.percent())
                    .number(value.measurement());
        }

        @Override
        public RunProgress read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            RunProgress value =
                    new RunProgress(
                            parts.value(RUN), parts.text(), parts.integer(), parts.number());
            parts.end();
            return value;
        }
    }

    /** The format of {@link RunEnd}. */
    public static final PackFormat<RunEnd> END = new EndFormat();

    private static final class EndFormat implements PackFormat<RunEnd> {

        @Override
        public void write(PackOutput output, RunEnd value) {
            output.array(4)
                    .number(value.number())
                    .value(value.run(), RUN)
                    .name(value.kind())
                    .text(value.checkpoint());
        }

        @Override
        public RunEnd read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            RunEnd value =
                    new RunEnd(
                            parts.number(),
                            parts.value(RUN),
                            parseKind(parts.text()),
                            parts.text());
            parts.end();
            return value;
        }
    }

    /** The format of {@link WorkerDescription}. */
    public static final PackFormat<WorkerDescription> WORKER = new WorkerFormat();

    private static final class WorkerFormat implements PackFormat<WorkerDescription> {

        @Override
        public void write(PackOutput output, WorkerDescription value) {
            output.array(8)
                    .text(value.incarnation())
                    .text(value.service())
                    .text(value.address())
                    .value(value.capacity(), RESOURCES)
                    .text(value.hall())
                    .list(value.labels(), TextFormat.TEXT)
                    .flag(value.draining())
                    .number(value.remainingMillis());
        }

        @Override
        public WorkerDescription read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            WorkerDescription value =
                    new WorkerDescription(
                            parseWorkerIncarnation(parts.text()),
                            parts.text(),
                            parts.text(),
                            parts.value(RESOURCES),
                            parseHallId(parts.text()),
                            parts.list(TextFormat.TEXT),
                            parts.flag(),
                            parts.number());
            parts.end();
            return value;
        }
    }

    /** The format of {@link WorkerIncarnation}. */
    public static final PackFormat<WorkerIncarnation> INCARNATION = new IncarnationFormat();

    private static final class IncarnationFormat implements PackFormat<WorkerIncarnation> {

        @Override
        public void write(PackOutput output, WorkerIncarnation value) {
            output.text(value);
        }

        @Override
        public WorkerIncarnation read(PackInput input) {
            return parseWorkerIncarnation(input.text());
        }
    }

    private static TaskName parseTaskName(String text) {
        return text == null ? null : TaskName.parse(text);
    }

    private static RunEndKind parseKind(String text) {
        return text == null ? null : RunEndKind.valueOf(text);
    }

    private static HallId parseHallId(String text) {
        return text == null ? null : HallId.parse(text);
    }

    private static WorkerIncarnation parseWorkerIncarnation(String text) {
        return text == null ? null : WorkerIncarnation.parse(text);
    }
}
