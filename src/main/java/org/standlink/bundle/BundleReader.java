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
 * Reads a bundle from its JSON text and checks every key.
 *
 * <p>{@code BundleReader} is mutable and not thread-safe; use {@link #read} for each text.
 */
public final class BundleReader {

    /** The greatest count or size that a bundle may name. */
    private static final long HIGH = 1_000_000_000L;

    /** The most tasks of one job. */
    private static final long MOST_TASKS = 100_000;

    /** The greatest priority. */
    private static final long HIGHEST_PRIORITY = 100;

    /** The class name for jobs that name none. */
    private static final String DEFAULT_CLASS = "default";

    /** No instances. */
    private BundleReader() {}

    /**
     * Reads and checks a bundle.
     *
     * @param text the JSON text
     * @return the bundle
     * @throws org.standlink.StandlinkException with code INVALID_BUNDLE, listing every fault
     */
    public static Bundle read(String text) {
        ValidationErrors faults = new ValidationErrors();
        Bundle bundle = read(text, faults);
        if (faults.getErrors().isEmpty()) {
            BundleChecker.check(bundle, faults);
        }
        faults.throwIfAny(ErrorCode.INVALID_BUNDLE, "the bundle");
        return bundle;
    }

    // -----------------------------------------------------------------------
    private static Bundle read(String text, ValidationErrors faults) {
        JsonSection top = JsonSection.parse(text, faults);
        Bundle bundle =
                new Bundle(
                        BundleVersion.of(top.requiredInteger("version", 1, HIGH)),
                        BundleVersion.of(top.requiredInteger("base", 0, HIGH)),
                        all(top, "services", BundleReader::service),
                        all(top, "jobs", BundleReader::job),
                        all(top, "cells", BundleReader::cell),
                        all(top, "teams", BundleReader::team),
                        all(top, "rules", BundleReader::rule),
                        all(top, "operators", BundleReader::operator),
                        weights(top.section("weights")),
                        all(top, "hallDistances", BundleReader::distance));
        top.reportUnknownKeys();
        return bundle;
    }

    private static <T> List<T> all(
            JsonSection from, String key, java.util.function.Function<JsonSection, T> reader) {
        return from.sections(key).stream().map(section -> one(section, reader)).toList();
    }

    private static <T> T one(
            JsonSection section, java.util.function.Function<JsonSection, T> reader) {
        T value = reader.apply(section);
        section.reportUnknownKeys();
        return value;
    }

    private static ServiceSpecification service(JsonSection from) {
        return new ServiceSpecification(
                from.requiredValue("id", ServiceId::parse),
                from.enumValue("mode", Mode.class, Mode.OBSERVE),
                from.requiredText("pathPrefix"),
                from.values("upstreams", VmId::parse),
                (int) from.integer("slots", 8, 1, 10_000),
                (int) from.integer("connections", 64, 1, 100_000),
                (int) from.integer("queue", 16, 0, 100_000),
                one(from.section("reserved"), BundleReader::resources),
                from.integer("keyWindowSeconds", 60, 1, 86_400),
                all(from, "classes", BundleReader::requestClass));
    }

    private static RequestClass requestClass(JsonSection from) {
        return new RequestClass(
                from.requiredValue("id", RequestClassId::parse),
                from.text("pathPrefix", "/"),
                Set.copyOf(from.values("methods", String::valueOf)),
                from.flag("repeatable", false),
                (int) from.integer("concurrency", 64, 1, 100_000),
                from.integer("deadlineMillis", 5000, 1, 600_000),
                from.integer("targetMillis", 100, 1, 600_000));
    }

    private static JobSpecification job(JsonSection from) {
        JobId id = from.requiredValue("id", JobId::parse);
        return new JobSpecification(
                id,
                from.enumValue("mode", Mode.class, Mode.OBSERVE),
                from.requiredValue("team", TeamId::parse),
                from.requiredValue("cell", CellId::parse),
                from.text("batchClass", DEFAULT_CLASS),
                (int) from.requiredInteger("tasks", 1, MOST_TASKS),
                one(from.section("resources"), BundleReader::resources),
                from.integer("runSeconds", 60, 1, HIGH),
                from.enumValue("urgency", Urgency.class, Urgency.ORDINARY),
                (int) from.integer("priority", 0, 0, HIGHEST_PRIORITY),
                from.flag("checkpointable", false),
                (int) from.integer("finishByHour", -1, 0, 23));
    }

    private static Resources resources(JsonSection from) {
        return Resources.ofCores(
                from.decimal("cores", 0, 0, HIGH),
                from.integer("memoryMegabytes", 0, 0, HIGH),
                from.integer("accelerators", 0, 0, HIGH));
    }

    private static CellSpecification cell(JsonSection from) {
        return new CellSpecification(
                from.requiredValue("id", CellId::parse),
                all(from, "workers", BundleReader::worker));
    }

    private static WorkerSpecification worker(JsonSection from) {
        return new WorkerSpecification(
                from.requiredValue("vm", VmId::parse),
                from.requiredText("address"),
                from.requiredValue("hall", HallId::parse),
                from.requiredValue("rack", RackId::parse),
                one(from.section("capacity"), BundleReader::resources));
    }

    private static TeamSpecification team(JsonSection from) {
        return new TeamSpecification(
                from.requiredValue("id", TeamId::parse),
                one(from.section("quota"), BundleReader::resources),
                (int) from.integer("concurrency", 256, 1, 100_000));
    }

    private static PlacementRule rule(JsonSection from) {
        return new PlacementRule(
                from.requiredValue("job", JobId::parse),
                from.values("halls", HallId::parse),
                from.values("avoidServices", ServiceId::parse));
    }

    private static Operator operator(JsonSection from) {
        return new Operator(
                from.requiredValue("id", OperatorId::parse), from.requiredText("publicKey"));
    }

    private static Weights weights(JsonSection from) {
        Weights weights =
                new Weights(
                        from.decimal("latency", 1, 0, 100),
                        from.decimal("throughput", 1, 0, 100),
                        from.decimal("eviction", 1, 0, 100));
        from.reportUnknownKeys();
        return weights;
    }

    private static HallDistance distance(JsonSection from) {
        return new HallDistance(
                from.requiredValue("from", HallId::parse),
                from.requiredValue("to", HallId::parse),
                from.requiredInteger("micros", 0, HIGH));
    }
}
