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

import java.util.List;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunFormat;
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;
import org.standlink.pack.SequenceFormat;

/**
 * The binary format of agents' reports, without data binding: the report is a map of its components
 * by name, its parts are arrays.
 *
 * <p>{@code ReportFormat} is thread-safe and immutable.
 */
final class ReportFormat {

    private ReportFormat() {}

    /**
     * Writes a report after its type.
     *
     * @param fields where to write
     * @param report the report
     */
    static void write(MessageFields fields, AgentReport report) {
        fields.text("node", report.node())
                .text("address", report.address())
                .incarnation("incarnation", report.incarnation())
                .number("sequence", report.sequence())
                .sequence("epoch", report.epoch())
                .sequence("generation", report.generation())
                .flag("refused", report.refused())
                .list("workers", report.workers(), WORKER)
                .list("dead", report.dead(), RunFormat.INCARNATION);
        if (!report.inDoubt().isEmpty()) {
            // Omitted when empty, as by programs that do not know this component.
            fields.list("inDoubt", report.inDoubt(), RunFormat.RUN);
        }
    }

    /**
     * Reads a report after its type.
     *
     * @param input where to read
     * @param size the number of further keys
     * @return the report
     */
    static AgentReport read(PackInput input, int size) {
        ReportParts parts = new ReportParts();
        for (int i = 0; i < size; i++) {
            parts.read(input.text(), input);
        }
        return parts.toReport();
    }

    /**
     * The components that were read so far; those that are missing are null, zero or false.
     *
     * <p>{@code ReportParts} is mutable and not thread-safe.
     */
    private static final class ReportParts {

        private String node;
        private String address;
        private Incarnation incarnation;
        private long sequence;
        private Epoch epoch;
        private LeaseGeneration generation;
        private boolean refused;
        private List<WorkerReport> workers;
        private List<WorkerIncarnation> dead;
        private List<RunId> inDoubt;

        private void read(String key, PackInput input) {
            switch (key) {
                case "node" -> node = input.text();
                case "address" -> address = input.text();
                case "incarnation" -> incarnation = SequenceFormat.INCARNATION.read(input);
                case "sequence" -> sequence = input.number();
                case "epoch" -> epoch = SequenceFormat.EPOCH.read(input);
                case "generation" -> generation = SequenceFormat.GENERATION.read(input);
                case "refused" -> refused = input.flag();
                case "workers" -> workers = input.list(WORKER);
                case "dead" -> dead = input.list(RunFormat.INCARNATION);
                case "inDoubt" -> inDoubt = input.list(RunFormat.RUN);
                default -> input.skip();
            }
        }

        private AgentReport toReport() {
            return new AgentReport(
                    node,
                    address,
                    incarnation,
                    sequence,
                    epoch,
                    generation,
                    refused,
                    workers,
                    dead,
                    inDoubt);
        }
    }

    // -----------------------------------------------------------------------
    private static final PackFormat<WorkerReport> WORKER = new WorkerFormat();

    private static final class WorkerFormat implements PackFormat<WorkerReport> {

        @Override
        public void write(PackOutput output, WorkerReport value) {
            output.array(11)
                    .value(value.worker(), RunFormat.WORKER)
                    .flag(value.reachable())
                    .flag(value.lapsed())
                    .flag(value.runsKnown())
                    .list(value.running(), RunFormat.PROGRESS)
                    .list(value.ended(), RunFormat.END)
                    .list(value.refused(), REFUSAL)
                    .list(value.gone(), RunFormat.RUN)
                    .list(value.throttled(), SHARE)
                    .flag(value.listsComplete())
                    .list(value.inDoubt(), RunFormat.RUN);
        }

        @Override
        public WorkerReport read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            WorkerReport value =
                    new WorkerReport(
                            parts.value(RunFormat.WORKER),
                            parts.flag(),
                            parts.flag(),
                            parts.flag(),
                            parts.list(RunFormat.PROGRESS),
                            parts.list(RunFormat.END),
                            parts.list(REFUSAL),
                            parts.list(RunFormat.RUN),
                            parts.list(SHARE),
                            parts.flag(),
                            parts.list(RunFormat.RUN));
            parts.end();
            return value;
        }
    }

    private static final PackFormat<StartRefusal> REFUSAL = new RefusalFormat();

    private static final class RefusalFormat implements PackFormat<StartRefusal> {

        @Override
        public void write(PackOutput output, StartRefusal value) {
            output.array(3)
                    .value(value.run(), RunFormat.RUN)
                    .text(value.reason())
                    .flag(value.unwell());
        }

        @Override
        public StartRefusal read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            StartRefusal value =
                    new StartRefusal(parts.value(RunFormat.RUN), parts.text(), parts.flag());
            parts.end();
            return value;
        }
    }

    private static final PackFormat<ImageShare> SHARE = new ShareFormat();

    private static final class ShareFormat implements PackFormat<ImageShare> {

        @Override
        public void write(PackOutput output, ImageShare value) {
            output.array(2).text(value.image()).number(value.percent());
        }

        @Override
        public ImageShare read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            ImageShare value = new ImageShare(parts.text(), parts.integer());
            parts.end();
            return value;
        }
    }
}
