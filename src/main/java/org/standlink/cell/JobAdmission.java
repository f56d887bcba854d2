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

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.standlink.admission.AdmissionDecision;
import org.standlink.admission.AdmissionListener;
import org.standlink.admission.AdmissionPolicy;
import org.standlink.admission.BacklogAdmission;
import org.standlink.admission.BacklogSnapshot;
import org.standlink.admission.JobRequest;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.lease.MonotonicClock;

/**
 * Decides about submissions by the backlog of their service, and reports the backlog to a listener.
 * If it is turned off, it admits every job and reads nothing.
 *
 * <p>{@code JobAdmission} is not thread-safe; it is confined to the leader's event loop.
 */
final class JobAdmission {

    /**
     * For how long a backlog is used, in milliseconds. Reading it visits all tasks, and a leader
     * receives tens of submissions a second; jobs that are admitted meanwhile are added to it. The
     * work is read only for a submission that does not fit into free capacity.
     */
    private static final long MAX_AGE_MILLIS = 50;

    /** The interval between two notifications of the backlog, in milliseconds. */
    private static final long NOTIFICATION_INTERVAL_MILLIS = 1000;

    private static final double MILLIS_PER_SECOND = 1000;

    private static final double MILLI_CORE_MILLIS_PER_CPU_SECOND = 1_000_000;

    private final boolean enabled;
    private final BacklogReader reader;
    private final MonotonicClock clock;
    private final AdmissionListener listener;
    private final AdmissionPolicy policy = new BacklogAdmission();

    /** The last backlog of each service. */
    private final Map<String, CachedBacklog> backlogs = new HashMap<>();

    /** When the listener was last notified of the backlog, on the leader's clock. */
    private long notifiedAt;

    /** The services whose backlog the listener was last notified of. */
    private Set<String> notified = Set.of();

    /** A backlog and when it was read, on the leader's clock. */
    private static final class CachedBacklog {

        private final BacklogSnapshot snapshot;
        private final long readAt;

        /** Whether the snapshot includes the work, and not only the capacity. */
        private boolean complete;

        CachedBacklog(BacklogSnapshot snapshot, long readAt) {
            this.snapshot = snapshot;
            this.readAt = readAt;
        }
    }

    /**
     * Creates the admission of a leader.
     *
     * @param contention whether jobs may be refused
     * @param reader reads the backlog
     * @param clock the leader's clock
     * @param listener is notified of the backlog and of refusals
     */
    JobAdmission(
            ContentionOptions contention,
            BacklogReader reader,
            MonotonicClock clock,
            AdmissionListener listener) {
        this.enabled = contention.backlogAdmission();
        this.reader = reader;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Decides about a job that is not known to the leader.
     *
     * @param job the submitted job
     * @return the decision
     */
    AdmissionDecision decide(JobDefinition job) {
        Optional<QueueDefinition> queue =
                enabled ? reader.findQueue(job.queue()) : Optional.empty();
        if (queue.isEmpty()) {
            return AdmissionDecision.ADMITTED;
        }
        JobRequest request = JobRequest.of(job, queue.get());
        if (request.unbounded()) {
            return AdmissionDecision.ADMITTED;
        }
        long now = clock.nowMillis();
        String service = queue.get().service();
        CachedBacklog cached = getCapacity(service, now);
        if (!cached.complete && cached.snapshot.hasRoom(request)) {
            cached.snapshot.addPromise(request);
            return AdmissionDecision.ADMITTED;
        }
        BacklogSnapshot backlog = getBacklog(service, now);
        AdmissionDecision decision = policy.decide(request, backlog, now);
        if (decision.admitted()) {
            backlog.addAdmitted(request);
        } else {
            listener.submissionRefused(request.queue());
        }
        return decision;
    }

    /** Records which workers are being reported, and notifies the listener once a second. */
    void tick() {
        if (!enabled) {
            return;
        }
        long now = clock.nowMillis();
        reader.observeReports(now);
        if (now - notifiedAt >= NOTIFICATION_INTERVAL_MILLIS) {
            notifiedAt = now;
            notifyOf(Set.copyOf(reader.getServices()), now);
        }
    }

    /** Notifies the listener that this leader has ended. */
    void close() {
        if (enabled) {
            listener.backlogUnknown();
        }
    }

    // -----------------------------------------------------------------------
    private CachedBacklog getCapacity(String service, long now) {
        CachedBacklog cached = backlogs.get(service);
        if (cached == null || now - cached.readAt >= MAX_AGE_MILLIS) {
            cached = new CachedBacklog(reader.readCapacity(service, now), now);
            backlogs.put(service, cached);
        }
        return cached;
    }

    private BacklogSnapshot getBacklog(String service, long now) {
        CachedBacklog cached = getCapacity(service, now);
        if (!cached.complete) {
            reader.addWork(cached.snapshot, service, now);
            cached.complete = true;
        }
        return cached.snapshot;
    }

    private void notifyOf(Set<String> services, long now) {
        if (!services.containsAll(notified)) {
            // The last backlog of a service whose workers are gone is not shown any longer.
            listener.backlogUnknown();
        }
        notified = services;
        services.forEach(service -> notifyOf(service, now));
    }

    private void notifyOf(String service, long now) {
        BacklogSnapshot backlog = getBacklog(service, now);
        reader.listPriorities(service).forEach(priority -> notifyOf(service, priority, backlog));
    }

    private void notifyOf(String service, int priority, BacklogSnapshot backlog) {
        double startMillis =
                backlog.predictStartMillis(priority, backlog.hasBestEffort(priority), true);
        listener.backlogMeasured(
                service,
                priority,
                backlog.getWork(priority) / MILLI_CORE_MILLIS_PER_CPU_SECOND,
                startMillis / MILLIS_PER_SECOND);
    }
}
