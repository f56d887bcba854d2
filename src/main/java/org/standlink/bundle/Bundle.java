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
import java.util.Optional;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.OperatorId;
import org.standlink.ServiceId;
import org.standlink.TeamId;
import org.standlink.VmId;

/**
 * One version of the operators' configuration.
 *
 * <p>{@code Bundle} is thread-safe and immutable.
 *
 * @param version the version of this bundle
 * @param base the version that this bundle replaces
 * @param services the services
 * @param jobs the jobs
 * @param cells the cells with their workers
 * @param teams the teams
 * @param rules the placement rules
 * @param operators the operators
 * @param weights the weights of the objectives in scheduling decisions
 * @param hallDistances the one-way latency between halls
 */
public record Bundle(
        BundleVersion version,
        BundleVersion base,
        List<ServiceSpecification> services,
        List<JobSpecification> jobs,
        List<CellSpecification> cells,
        List<TeamSpecification> teams,
        List<PlacementRule> rules,
        List<Operator> operators,
        Weights weights,
        List<HallDistance> hallDistances) {

    /**
     * Finds a service.
     *
     * @param id the service
     * @return the service, empty if there is none
     */
    public Optional<ServiceSpecification> findService(ServiceId id) {
        return services.stream().filter(service -> service.id().equals(id)).findFirst();
    }

    /**
     * Finds a job.
     *
     * @param id the job
     * @return the job, empty if there is none
     */
    public Optional<JobSpecification> findJob(JobId id) {
        return jobs.stream().filter(job -> job.id().equals(id)).findFirst();
    }

    /**
     * Finds a team.
     *
     * @param id the team
     * @return the team, empty if there is none
     */
    public Optional<TeamSpecification> findTeam(TeamId id) {
        return teams.stream().filter(team -> team.id().equals(id)).findFirst();
    }

    /**
     * Finds a cell.
     *
     * @param id the cell
     * @return the cell, empty if there is none
     */
    public Optional<CellSpecification> findCell(CellId id) {
        return cells.stream().filter(cell -> cell.id().equals(id)).findFirst();
    }

    /**
     * Finds the cell that a VM belongs to.
     *
     * @param vm the VM
     * @return the cell, empty if there is none
     */
    public Optional<CellSpecification> findCellOf(VmId vm) {
        return cells.stream()
                .filter(cell -> cell.workers().stream().anyMatch(w -> w.vm().equals(vm)))
                .findFirst();
    }

    /**
     * Finds a worker.
     *
     * @param vm its VM
     * @return the worker, empty if there is none
     */
    public Optional<WorkerSpecification> findWorker(VmId vm) {
        return cells.stream()
                .flatMap(cell -> cell.workers().stream())
                .filter(worker -> worker.vm().equals(vm))
                .findFirst();
    }

    /**
     * Finds an operator.
     *
     * @param id the operator
     * @return the operator, empty if there is none
     */
    public Optional<Operator> findOperator(OperatorId id) {
        return operators.stream().filter(operator -> operator.id().equals(id)).findFirst();
    }

    /**
     * Gets the one-way latency between two halls.
     *
     * @param from one hall
     * @param to the other hall
     * @return the latency in microseconds, 0 within a hall or if the bundle does not give it
     */
    public long getDistanceMicros(HallId from, HallId to) {
        return hallDistances.stream()
                .filter(distance -> distance.isBetween(from, to))
                .mapToLong(HallDistance::micros)
                .findFirst()
                .orElse(0);
    }
}
