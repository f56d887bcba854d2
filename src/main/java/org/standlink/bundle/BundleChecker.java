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

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.standlink.CellId;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.json.ValidationErrors;

/**
 * Checks what the parts of a bundle say about each other.
 *
 * <p>{@code BundleChecker} is mutable and not thread-safe; use {@link #check} for each bundle.
 */
final class BundleChecker {

    /** The most workers of one cell, which bounds what its leader carries. */
    static final int MAX_WORKERS_PER_CELL = 32;

    /** The fewest operators: one writes, another signs off. */
    private static final int FEWEST_OPERATORS = 2;

    /** Methods that HTTP libraries repeat on their own after a lost connection. */
    private static final Set<String> REPEATED_BY_LIBRARIES = Set.of("GET", "HEAD");

    /** The bundle. */
    private final Bundle bundle;

    /** Where faults go. */
    private final ValidationErrors faults;

    /**
     * Constructor.
     *
     * @param bundle the bundle
     * @param faults where faults go
     */
    private BundleChecker(Bundle bundle, ValidationErrors faults) {
        this.bundle = bundle;
        this.faults = faults;
    }

    /**
     * Checks a bundle.
     *
     * @param bundle the bundle
     * @param faults where faults go
     */
    static void check(Bundle bundle, ValidationErrors faults) {
        BundleChecker checker = new BundleChecker(bundle, faults);
        checker.checkVersion();
        checker.checkUnique();
        checker.checkServices();
        checker.checkJobs();
        checker.checkCells();
        checker.checkRules();
    }

    // -----------------------------------------------------------------------
    private void checkVersion() {
        if (!bundle.version().equals(bundle.base().next())) {
            faults.add(
                    "version",
                    bundle.version() + " does not follow base " + bundle.base(),
                    "use " + bundle.base().next());
        }
        if (bundle.operators().size() < FEWEST_OPERATORS) {
            faults.add("operators", "fewer than two", "name one to write and one to sign off");
        }
        for (int i = 0; i < bundle.operators().size(); i++) {
            String key = bundle.operators().get(i).publicKey();
            if (!BundleSigner.isPublicKey(key)) {
                faults.add(
                        "operators[" + i + "].publicKey",
                        "'" + key + "' is not an Ed25519 public key",
                        "make one with 'standlink keys'");
            }
        }
    }

    private void checkUnique() {
        unique("services", bundle.services(), ServiceSpecification::id);
        unique("jobs", bundle.jobs(), JobSpecification::id);
        unique("cells", bundle.cells(), CellSpecification::id);
        unique("teams", bundle.teams(), TeamSpecification::id);
        unique("operators", bundle.operators(), Operator::id);
        List<WorkerSpecification> workers =
                bundle.cells().stream().flatMap(cell -> cell.workers().stream()).toList();
        unique("cells[].workers", workers, WorkerSpecification::vm);
    }

    private <T> void unique(String path, List<T> values, Function<T, Object> id) {
        Set<Object> seen = new HashSet<>();
        for (T value : values) {
            if (!seen.add(id.apply(value))) {
                faults.add(path, "'" + id.apply(value) + "' stands twice", "remove one");
            }
        }
    }

    private void checkServices() {
        for (int i = 0; i < bundle.services().size(); i++) {
            checkService("services[" + i + "]", bundle.services().get(i));
        }
    }

    private void checkService(String path, ServiceSpecification service) {
        if (service.upstreams().isEmpty()) {
            faults.add(path + ".upstreams", "empty", "name at least one VM");
        }
        for (VmId vm : service.upstreams()) {
            if (bundle.findWorker(vm).isEmpty()) {
                faults.add(path + ".upstreams", "'" + vm + "' is in no cell", "add it to a cell");
            }
        }
        if (service.connections() < service.slots()) {
            faults.add(
                    path + ".connections",
                    service.connections() + " is below the slots",
                    "use at least " + service.slots());
        }
        if (service.classes().isEmpty()) {
            faults.add(path + ".classes", "empty", "describe at least one class of requests");
        }
        for (int i = 0; i < service.classes().size(); i++) {
            checkClass(path + ".classes[" + i + "]", service.classes().get(i));
        }
        unique(path + ".classes", service.classes(), RequestClass::id);
    }

    private void checkClass(String path, RequestClass requestClass) {
        boolean repeated =
                requestClass.methods().isEmpty()
                        || requestClass.methods().stream()
                                .anyMatch(REPEATED_BY_LIBRARIES::contains);
        if (!requestClass.repeatable() && repeated) {
            faults.add(
                    path + ".methods",
                    "GET and HEAD are repeated by HTTP libraries, the class is not repeatable",
                    "name other methods, or set repeatable to true");
        }
        if (requestClass.targetMillis() > requestClass.deadlineMillis()) {
            faults.add(
                    path + ".targetMillis",
                    requestClass.targetMillis() + " is above the deadline",
                    "use at most " + requestClass.deadlineMillis());
        }
    }

    private void checkJobs() {
        for (int i = 0; i < bundle.jobs().size(); i++) {
            JobSpecification job = bundle.jobs().get(i);
            String path = "jobs[" + i + "]";
            CellId cell = job.cell();
            if (bundle.findCell(cell).isEmpty()) {
                faults.add(path + ".cell", "'" + cell + "' is not known", "name a cell");
            }
            TeamId team = job.team();
            if (bundle.findTeam(team).isEmpty()) {
                faults.add(path + ".team", "'" + team + "' is not known", "name a team");
            }
            if (job.resources().equals(Resources.NONE)) {
                faults.add(path + ".resources", "nothing", "declare cores or memory");
            }
        }
    }

    private void checkCells() {
        for (int i = 0; i < bundle.cells().size(); i++) {
            CellSpecification cell = bundle.cells().get(i);
            String path = "cells[" + i + "].workers";
            if (cell.workers().isEmpty() || cell.workers().size() > MAX_WORKERS_PER_CELL) {
                faults.add(
                        path,
                        cell.workers().size() + " workers",
                        "use 1 to " + MAX_WORKERS_PER_CELL);
            }
            for (WorkerSpecification worker : cell.workers()) {
                checkWorker(path, worker);
            }
        }
    }

    private void checkWorker(String path, WorkerSpecification worker) {
        Resources reserved = Resources.NONE;
        for (ServiceSpecification service : bundle.services()) {
            if (service.upstreams().contains(worker.vm())) {
                reserved = reserved.plus(service.reserved());
            }
        }
        if (!reserved.fitsIn(worker.capacity())) {
            faults.add(
                    path,
                    "services reserve more than '" + worker.vm() + "' has",
                    "lower their reserved resources or move one");
        }
        if (!worker.address().matches("[^:]+:[0-9]{1,5}")) {
            faults.add(path, "address '" + worker.address() + "' is wrong", "use host:port");
        }
    }

    private void checkRules() {
        Set<HallId> halls = new HashSet<>();
        bundle.cells().forEach(cell -> cell.workers().forEach(worker -> halls.add(worker.hall())));
        for (int i = 0; i < bundle.rules().size(); i++) {
            PlacementRule rule = bundle.rules().get(i);
            String path = "rules[" + i + "]";
            JobId job = rule.job();
            if (bundle.findJob(job).isEmpty()) {
                faults.add(path + ".job", "'" + job + "' is not known", "name a job");
            }
            for (HallId hall : rule.halls()) {
                if (!halls.contains(hall)) {
                    faults.add(path + ".halls", "'" + hall + "' is not known", "name a hall");
                }
            }
            for (ServiceId service : rule.avoidServices()) {
                if (bundle.findService(service).isEmpty()) {
                    faults.add(
                            path + ".avoidServices",
                            "'" + service + "' is not known",
                            "name a service");
                }
            }
        }
    }
}
