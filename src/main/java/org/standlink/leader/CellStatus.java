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
package org.standlink.leader;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.JobSpecification;
import org.standlink.bundle.WorkerSpecification;
import org.standlink.log.CellState;
import org.standlink.log.TaskState;
import org.standlink.wire.TaskReport;

/**
 * Formats the status of a cell for operators, as JSON.
 *
 * <p>{@code CellStatus} is thread-safe and immutable.
 */
final class CellStatus {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CellStatus() {}

    /**
     * Describes a cell.
     *
     * @param leader the leader of the cell
     * @param state the folded state of the cell
     * @param bundle the bundle in force, null if none
     * @param nowMillis the time, in milliseconds
     * @return the JSON text
     */
    static String describe(
            BundleCellLeader leader, CellState state, Bundle bundle, long nowMillis) {
        ObjectNode status = MAPPER.createObjectNode();
        status.put("cell", state.getCell().toString());
        status.put("epoch", state.getEpoch().getValue());
        status.put("leader", String.valueOf(state.getLeader()));
        status.put("bundle", bundle == null ? 0 : bundle.version().getValue());
        ArrayNode workers = status.putArray("workers");
        ArrayNode tasks = status.putArray("tasks");
        if (bundle != null && bundle.findCell(state.getCell()).isPresent()) {
            bundle.findCell(state.getCell())
                    .orElseThrow()
                    .workers()
                    .forEach(worker -> workers.add(describeWorker(worker, leader, nowMillis)));
            bundle.jobs().stream()
                    .filter(job -> job.cell().equals(state.getCell()))
                    .forEach(job -> addTasks(tasks, job, leader, state));
        }
        try {
            return MAPPER.writeValueAsString(status);
        } catch (JsonProcessingException impossible) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    "status could not be encoded",
                    "report a defect",
                    impossible);
        }
    }

    private static ObjectNode describeWorker(
            WorkerSpecification worker, BundleCellLeader leader, long nowMillis) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("vm", worker.vm().toString());
        node.put("hall", worker.hall().toString());
        node.put("rack", worker.rack().toString());
        AgentEntry agent = leader.getAgents().get(worker.vm());
        boolean reported = agent != null && agent.hasReported();
        node.put("state", stateOf(agent));
        node.put("bundle", reported ? agent.getLastHeartbeat().bundle().getValue() : 0);
        node.put("silentMillis", reported ? nowMillis - agent.getGrantedMillis() : -1);
        node.put("tasks", reported ? agent.getReports().size() : 0);
        return node;
    }

    private static String stateOf(AgentEntry agent) {
        if (agent == null || !agent.hasReported()) {
            return "unheard";
        }
        if (agent.isLost()) {
            return "lost";
        }
        if (agent.getLastHeartbeat().leaving()) {
            return "leaving";
        }
        return agent.getLastHeartbeat().workerReady() ? "ready" : "worker not ready";
    }

    private static void addTasks(
            ArrayNode tasks, JobSpecification job, BundleCellLeader leader, CellState state) {
        Map<TaskId, String> waiting = leader.getPlanner().getWaitingReasons();
        for (int index = 0; index < job.tasks(); index++) {
            TaskState task = state.getTask(TaskId.of(job.id(), index));
            ObjectNode node = tasks.addObject();
            node.put("task", task.task().toString());
            node.put("attempt", task.attempt().getValue());
            node.put("failures", task.failures());
            node.put("state", phaseOf(task, leader));
            if (task.worker() != null) {
                node.put("worker", task.worker().toString());
            }
            if (waiting.containsKey(task.task())) {
                node.put("reason", waiting.get(task.task()));
            }
        }
    }

    private static String phaseOf(TaskState task, BundleCellLeader leader) {
        if (!task.isAssigned()) {
            return task.phase().name().toLowerCase(java.util.Locale.ROOT);
        }
        VmId worker = task.worker();
        AgentEntry agent = leader.getAgents().get(worker);
        TaskReport report = agent == null ? null : agent.getReport(task.task());
        return report == null
                ? "assigned"
                : report.state().name().toLowerCase(java.util.Locale.ROOT);
    }
}
