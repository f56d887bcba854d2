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
 * Checks the references and the constraints between the parts of a bundle.
 *
 * <p>{@code BundleChecker} is mutable and not thread-safe; {@link #check} creates one for each
 * bundle.
 */
final class BundleChecker {

    /** The largest number of workers in a cell, which bounds the load of its leader. */
    static final int MAX_WORKERS_PER_CELL = 32;

    /** The smallest number of operators: one writes a bundle and another one signs it off. */
    private static final int MIN_OPERATORS = 2;

    /** Methods that HTTP client libraries retry on their own after a lost connection. */
    private static final Set<String> METHODS_RETRIED_BY_CLIENTS = Set.of("GET", "HEAD");

    private final Bundle bundle;

    private final ValidationErrors errors;

    private BundleChecker(Bundle bundle, ValidationErrors errors) {
        this.bundle = bundle;
        this.errors = errors;
    }

    /**
     * Checks a bundle and collects all errors.
     *
     * @param bundle the bundle
     * @param errors receives the errors
     */
    static void check(Bundle bundle, ValidationErrors errors) {
        BundleChecker checker = new BundleChecker(bundle, errors);
        checker.checkVersion();
        checker.checkIds();
        checker.checkServices();
        checker.checkJobs();
        checker.checkCells();
        checker.checkRules();
    }

    // -----------------------------------------------------------------------
    private void checkVersion() {
        if (!bundle.version().equals(bundle.base().next())) {
            errors.add(
                    "version",
                    bundle.version() + " does not follow base " + bundle.base(),
                    "use " + bundle.base().next());
        }
        if (bundle.operators().size() < MIN_OPERATORS) {
            errors.add(
                    "operators",
                    "fewer than two",
                    "name one operator to write bundles and one to sign them off");
        }
        for (int i = 0; i < bundle.operators().size(); i++) {
            String key = bundle.operators().get(i).publicKey();
            if (!BundleSigner.isPublicKey(key)) {
                errors.add(
                        "operators[" + i + "].publicKey",
                        "'" + key + "' is not an Ed25519 public key",
                        "create one with 'standlink keys'");
            }
        }
    }

    private void checkIds() {
        checkDistinct("services", bundle.services(), ServiceSpecification::id);
        checkDistinct("jobs", bundle.jobs(), JobSpecification::id);
        checkDistinct("cells", bundle.cells(), CellSpecification::id);
        checkDistinct("teams", bundle.teams(), TeamSpecification::id);
        checkDistinct("operators", bundle.operators(), Operator::id);
        List<WorkerSpecification> workers =
                bundle.cells().stream().flatMap(cell -> cell.workers().stream()).toList();
        checkDistinct("cells[].workers", workers, WorkerSpecification::vm);
    }

    private <T> void checkDistinct(String path, List<T> values, Function<T, Object> id) {
        Set<Object> ids = new HashSet<>();
        for (T value : values) {
            if (!ids.add(id.apply(value))) {
                errors.add(path, "'" + id.apply(value) + "' is defined twice", "remove one");
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
            errors.add(path + ".upstreams", "empty", "name at least one VM");
        }
        for (VmId vm : service.upstreams()) {
            if (bundle.findWorker(vm).isEmpty()) {
                errors.add(path + ".upstreams", "'" + vm + "' is in no cell", "add it to a cell");
            }
        }
        if (service.connections() < service.slots()) {
            errors.add(
                    path + ".connections",
                    service.connections() + " is less than the number of slots",
                    "use at least " + service.slots());
        }
        if (service.classes().isEmpty()) {
            errors.add(path + ".classes", "empty", "define at least one request class");
        }
        for (int i = 0; i < service.classes().size(); i++) {
            checkClass(path + ".classes[" + i + "]", service.classes().get(i));
        }
        checkDistinct(path + ".classes", service.classes(), RequestClass::id);
    }

    private void checkClass(String path, RequestClass requestClass) {
        boolean retriedByClients =
                requestClass.methods().isEmpty()
                        || requestClass.methods().stream()
                                .anyMatch(METHODS_RETRIED_BY_CLIENTS::contains);
        if (!requestClass.repeatable() && retriedByClients) {
            errors.add(
                    path + ".methods",
                    "HTTP client libraries retry GET and HEAD, but the class is not repeatable",
                    "use other methods, or set repeatable to true");
        }
        if (requestClass.targetMillis() > requestClass.deadlineMillis()) {
            errors.add(
                    path + ".targetMillis",
                    requestClass.targetMillis() + " is greater than the deadline",
                    "use at most " + requestClass.deadlineMillis());
        }
    }

    private void checkJobs() {
        for (int i = 0; i < bundle.jobs().size(); i++) {
            JobSpecification job = bundle.jobs().get(i);
            String path = "jobs[" + i + "]";
            CellId cell = job.cell();
            if (bundle.findCell(cell).isEmpty()) {
                errors.add(
                        path + ".cell", "unknown cell '" + cell + "'", "name a cell of the bundle");
            }
            TeamId team = job.team();
            if (bundle.findTeam(team).isEmpty()) {
                errors.add(
                        path + ".team", "unknown team '" + team + "'", "name a team of the bundle");
            }
            if (job.resources().equals(Resources.NONE)) {
                errors.add(path + ".resources", "empty", "declare cores or memory");
            }
        }
    }

    private void checkCells() {
        for (int i = 0; i < bundle.cells().size(); i++) {
            CellSpecification cell = bundle.cells().get(i);
            String path = "cells[" + i + "].workers";
            if (cell.workers().isEmpty() || cell.workers().size() > MAX_WORKERS_PER_CELL) {
                errors.add(
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
            errors.add(
                    path,
                    "services reserve more than the capacity of '" + worker.vm() + "'",
                    "lower their reserved resources or move one");
        }
        if (!worker.address().matches("[^:]+:[0-9]{1,5}")) {
            errors.add(path, "malformed address '" + worker.address() + "'", "use host:port");
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
                errors.add(path + ".job", "unknown job '" + job + "'", "name a job of the bundle");
            }
            for (HallId hall : rule.halls()) {
                if (!halls.contains(hall)) {
                    errors.add(
                            path + ".halls",
                            "unknown hall '" + hall + "'",
                            "name a hall of a worker");
                }
            }
            for (ServiceId service : rule.avoidServices()) {
                if (bundle.findService(service).isEmpty()) {
                    errors.add(
                            path + ".avoidServices",
                            "unknown service '" + service + "'",
                            "name a service of the bundle");
                }
            }
        }
    }
}
