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
package org.standlink.ordering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.standlink.JobId;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.prediction.DurationPredictor;

/**
 * Decides which order applies to the jobs of each service: {@link ValueDensityOrder} while
 * best-effort tasks of a service with queues of unequal priority wait for workers, otherwise {@link
 * RemainingShareOrder}.
 *
 * <p>In each scheduling round, the unfinished and the final jobs are observed, then {@link
 * #beginRound} and the orders are requested, then the waiting tasks are recorded, then {@link
 * #endRound} is called.
 *
 * <p>{@code ServiceOrders} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
public final class ServiceOrders {

    private final boolean enabled;

    private final DurationPredictor predictor;

    private final OrderMetrics metrics;

    private final JobOrder usualOrder = new RemainingShareOrder();

    private final ValueDensityOrder valueDensityOrder;

    private final StartedJobs startedJobs;

    /** The conditions of the services with queues of unequal priority, by the service's name. */
    private final Map<String, ContentionCondition> conditions = new TreeMap<>();

    /**
     * The work of the best-effort tasks left without a worker in this round, by the service's name,
     * in thousandths of a core times milliseconds.
     */
    private final Map<String, Double> waitingWork = new HashMap<>();

    /** The configuration from which {@link #conditions} was derived, null if none. */
    private Configuration configuration;

    /**
     * Creates the decision.
     *
     * @param enabled whether {@link ValueDensityOrder} may apply at all
     * @param predictor predicts how long jobs take
     * @param metrics receives the figures of the predictions
     */
    public ServiceOrders(boolean enabled, DurationPredictor predictor, OrderMetrics metrics) {
        this.enabled = enabled;
        this.predictor = Objects.requireNonNull(predictor);
        this.metrics = Objects.requireNonNull(metrics);
        this.valueDensityOrder = new ValueDensityOrder(predictor);
        this.startedJobs = new StartedJobs(predictor, valueDensityOrder, metrics);
    }

    /**
     * Observes a job that is not final; called for each in each round.
     *
     * @param id the job
     * @param profile its profile
     */
    public void observe(JobId id, JobProfile profile) {
        if (enabled) {
            startedJobs.observe(id, profile);
        }
    }

    /**
     * Observes a final job; may be called in each round.
     *
     * @param id the job
     * @param completed whether it has completed rather than failed or been cancelled
     * @param now the time on the leader's clock, in milliseconds
     */
    public void observeFinal(JobId id, boolean completed, long now) {
        if (enabled) {
            startedJobs.observeFinal(id, completed, now);
        }
    }

    /**
     * Begins a round, after all jobs were observed.
     *
     * @param current the configuration in force
     * @param now the time on the leader's clock, in milliseconds
     */
    public void beginRound(Configuration current, long now) {
        if (!enabled) {
            return;
        }
        startedJobs.finishObservations(now);
        waitingWork.clear();
        if (current != configuration) {
            configuration = current;
            updateServices();
        }
    }

    /**
     * Checks whether the usual order applies to all services.
     *
     * @return true if so
     */
    public boolean isUsualOrderOnly() {
        return conditions.values().stream().noneMatch(ContentionCondition::holds);
    }

    /**
     * Gets the order that applies to all services while {@link #isUsualOrderOnly()}.
     *
     * @return the order
     */
    public JobOrder getUsualOrder() {
        return usualOrder;
    }

    /**
     * Gets the order of a service's jobs in this round.
     *
     * @param service the name of the service
     * @return the order
     */
    public JobOrder getOrder(String service) {
        ContentionCondition condition = conditions.get(service);
        return condition != null && condition.holds() ? valueDensityOrder : usualOrder;
    }

    /**
     * Records that a best-effort task was left without a worker in this round.
     *
     * @param service the name of the service
     * @param work the estimated work of the task, in thousandths of a core times milliseconds
     */
    public void recordWaiting(String service, double work) {
        if (enabled) {
            waitingWork.merge(service, work, Double::sum);
        }
    }

    /**
     * Ends a round. The orders of the next one follow from the tasks that were left without a
     * worker.
     *
     * @param now the time on the leader's clock, in milliseconds
     * @return the changes of order
     */
    public List<OrderChange> endRound(long now) {
        List<OrderChange> changes = new ArrayList<>();
        conditions.forEach(
                (service, condition) -> {
                    if (condition.update(waitingWork.containsKey(service), now)) {
                        changes.add(newChange(service, condition.holds(), now));
                    }
                });
        if (enabled && configuration != null) {
            for (QueueDefinition queue : configuration.queues()) {
                metrics.recordFactor(queue.name(), predictor.predictMedianRatio(queue.name(), now));
            }
        }
        return changes;
    }

    // -----------------------------------------------------------------------
    private void updateServices() {
        Map<String, Integer> priorities = new HashMap<>();
        Set<String> services = new HashSet<>();
        for (QueueDefinition queue : configuration.queues()) {
            Integer other = priorities.putIfAbsent(queue.service(), queue.priority());
            if (other != null && other != queue.priority()) {
                services.add(queue.service());
            }
        }
        conditions.keySet().retainAll(services);
        services.forEach(
                service -> conditions.computeIfAbsent(service, name -> new ContentionCondition()));
    }

    private OrderChange newChange(String service, boolean valueDensity, long now) {
        Map<String, Double> factors = new TreeMap<>();
        for (QueueDefinition queue : configuration.queues()) {
            if (queue.service().equals(service)) {
                double factor = predictor.predictMedianRatio(queue.name(), now);
                factors.put(queue.name(), Math.round(factor * 100) / 100.0);
            }
        }
        double work = waitingWork.getOrDefault(service, 0.0);
        return new OrderChange(service, valueDensity, factors, work);
    }
}
