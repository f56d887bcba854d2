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
package org.standlink.bundle;

import java.util.List;
import java.util.Set;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.ErrorCode;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.OperatorId;
import org.standlink.RackId;
import org.standlink.RequestClassId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.json.JsonSection;
import org.standlink.json.ValidationErrors;

/**
 * Parses and validates the JSON text of a bundle.
 *
 * <p>{@code BundleReader} is thread-safe and immutable.
 */
public final class BundleReader {

    /** The largest count, size or duration that a bundle may contain. */
    private static final long MAX_QUANTITY = 1_000_000_000L;

    /** The largest number of tasks in a job. */
    private static final long MAX_TASKS_PER_JOB = 100_000;

    private static final long MAX_PRIORITY = 100;

    /** The batch class of jobs that name none. */
    private static final String DEFAULT_BATCH_CLASS = "default";

    private BundleReader() {}

    /**
     * Parses and validates a bundle.
     *
     * @param text the JSON text
     * @return the bundle
     * @throws org.standlink.StandlinkException with code INVALID_BUNDLE, listing every error
     */
    public static Bundle read(String text) {
        ValidationErrors errors = new ValidationErrors();
        Bundle bundle = read(text, errors);
        if (errors.getErrors().isEmpty()) {
            BundleChecker.check(bundle, errors);
        }
        errors.throwIfAny(ErrorCode.INVALID_BUNDLE, "the bundle");
        return bundle;
    }

    // -----------------------------------------------------------------------
    private static Bundle read(String text, ValidationErrors errors) {
        JsonSection top = JsonSection.parse(text, errors);
        Bundle bundle =
                new Bundle(
                        BundleVersion.of(top.requiredInteger("version", 1, MAX_QUANTITY)),
                        BundleVersion.of(top.requiredInteger("base", 0, MAX_QUANTITY)),
                        readAll(top, "services", BundleReader::readService),
                        readAll(top, "jobs", BundleReader::readJob),
                        readAll(top, "cells", BundleReader::readCell),
                        readAll(top, "teams", BundleReader::readTeam),
                        readAll(top, "rules", BundleReader::readRule),
                        readAll(top, "operators", BundleReader::readOperator),
                        readWeights(top.section("weights")),
                        readAll(top, "hallDistances", BundleReader::readDistance));
        top.reportUnknownKeys();
        return bundle;
    }

    private static <T> List<T> readAll(
            JsonSection parent, String key, java.util.function.Function<JsonSection, T> reader) {
        return parent.sections(key).stream().map(section -> readSection(section, reader)).toList();
    }

    private static <T> T readSection(
            JsonSection section, java.util.function.Function<JsonSection, T> reader) {
        T value = reader.apply(section);
        section.reportUnknownKeys();
        return value;
    }

    private static ServiceSpecification readService(JsonSection section) {
        return new ServiceSpecification(
                section.requiredValue("id", ServiceId::parse),
                section.enumValue("mode", Mode.class, Mode.OBSERVE),
                section.requiredText("pathPrefix"),
                section.values("upstreams", VmId::parse),
                (int) section.integer("slots", 8, 1, 10_000),
                (int) section.integer("connections", 64, 1, 100_000),
                (int) section.integer("queue", 16, 0, 100_000),
                readSection(section.section("reserved"), BundleReader::readResources),
                section.integer("keyWindowSeconds", 60, 1, 86_400),
                readAll(section, "classes", BundleReader::readRequestClass));
    }

    private static RequestClass readRequestClass(JsonSection section) {
        return new RequestClass(
                section.requiredValue("id", RequestClassId::parse),
                section.text("pathPrefix", "/"),
                Set.copyOf(section.values("methods", String::valueOf)),
                section.flag("repeatable", false),
                (int) section.integer("concurrency", 64, 1, 100_000),
                section.integer("deadlineMillis", 5000, 1, 600_000),
                section.integer("targetMillis", 100, 1, 600_000));
    }

    private static JobSpecification readJob(JsonSection section) {
        JobId id = section.requiredValue("id", JobId::parse);
        return new JobSpecification(
                id,
                section.enumValue("mode", Mode.class, Mode.OBSERVE),
                section.requiredValue("team", TeamId::parse),
                section.requiredValue("cell", CellId::parse),
                section.text("batchClass", DEFAULT_BATCH_CLASS),
                (int) section.requiredInteger("tasks", 1, MAX_TASKS_PER_JOB),
                readSection(section.section("resources"), BundleReader::readResources),
                section.integer("runSeconds", 60, 1, MAX_QUANTITY),
                section.enumValue("urgency", Urgency.class, Urgency.ORDINARY),
                (int) section.integer("priority", 0, 0, MAX_PRIORITY),
                section.flag("checkpointable", false),
                (int) section.integer("finishByHour", -1, 0, 23));
    }

    private static Resources readResources(JsonSection section) {
        return Resources.ofCores(
                section.decimal("cores", 0, 0, MAX_QUANTITY),
                section.integer("memoryMegabytes", 0, 0, MAX_QUANTITY),
                section.integer("accelerators", 0, 0, MAX_QUANTITY));
    }

    private static CellSpecification readCell(JsonSection section) {
        return new CellSpecification(
                section.requiredValue("id", CellId::parse),
                readAll(section, "workers", BundleReader::readWorker));
    }

    private static WorkerSpecification readWorker(JsonSection section) {
        return new WorkerSpecification(
                section.requiredValue("vm", VmId::parse),
                section.requiredText("address"),
                section.requiredValue("hall", HallId::parse),
                section.requiredValue("rack", RackId::parse),
                readSection(section.section("capacity"), BundleReader::readResources));
    }

    private static TeamSpecification readTeam(JsonSection section) {
        return new TeamSpecification(
                section.requiredValue("id", TeamId::parse),
                readSection(section.section("quota"), BundleReader::readResources),
                (int) section.integer("concurrency", 256, 1, 100_000));
    }

    private static PlacementRule readRule(JsonSection section) {
        return new PlacementRule(
                section.requiredValue("job", JobId::parse),
                section.values("halls", HallId::parse),
                section.values("avoidServices", ServiceId::parse));
    }

    private static Operator readOperator(JsonSection section) {
        return new Operator(
                section.requiredValue("id", OperatorId::parse), section.requiredText("publicKey"));
    }

    private static Weights readWeights(JsonSection section) {
        Weights weights =
                new Weights(
                        section.decimal("latency", 1, 0, 100),
                        section.decimal("throughput", 1, 0, 100),
                        section.decimal("eviction", 1, 0, 100));
        section.reportUnknownKeys();
        return weights;
    }

    private static HallDistance readDistance(JsonSection section) {
        return new HallDistance(
                section.requiredValue("from", HallId::parse),
                section.requiredValue("to", HallId::parse),
                section.requiredInteger("micros", 0, MAX_QUANTITY));
    }
}
