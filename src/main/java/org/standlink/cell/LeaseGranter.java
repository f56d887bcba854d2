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

import java.util.List;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;
import org.standlink.lease.MonotonicClock;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.MessageChannel;

/**
 * Answers the reports of agents with leases, as long as the leader may grant any.
 *
 * <p>{@code LeaseGranter} is not thread-safe; it is confined to the leader's event loop.
 */
final class LeaseGranter {

    private final Epoch epoch;
    private final CommitQueue commits;
    private final AgentRegistry agents;
    private final AgentReportHandler reports;
    private final InterferenceLearner learner;
    private final CellTimes times;
    private final MonotonicClock clock;

    LeaseGranter(
            Epoch epoch,
            CommitQueue commits,
            AgentRegistry agents,
            AgentReportHandler reports,
            InterferenceLearner learner,
            CellTimes times,
            MonotonicClock clock) {
        this.epoch = epoch;
        this.commits = commits;
        this.agents = agents;
        this.reports = reports;
        this.learner = learner;
        this.times = times;
        this.clock = clock;
    }

    /**
     * Handles a report.
     *
     * @param connection the connection that it arrived on
     * @param report the report
     * @return the answer, null if a later report was received before and this one gets none
     */
    AgentGrant handle(MessageChannel connection, AgentReport report) {
        if (!agents.accept(report, clock.nowMillis())) {
            return null;
        }
        long millisSinceAppend = commits.getMillisSinceAppend();
        boolean authorized = millisSinceAppend < CellTimes.AUTHORITY_MILLIS;
        long leaseUntil = authorized ? clock.nowMillis() + times.leaseMillis() : 0;
        boolean evaluated = reports.handle(connection, report, leaseUntil);
        return new AgentGrant(
                epoch,
                agents.getGeneration(report.incarnation()),
                authorized && evaluated ? times.leaseMillis() : 0,
                millisSinceAppend,
                learner.listIfChanged(connection));
    }

    /**
     * Answers a report while the leader is still reading its state.
     *
     * @return the answer, without a lease
     */
    AgentGrant grantNoLease() {
        return new AgentGrant(
                epoch, LeaseGeneration.NONE, 0, commits.getMillisSinceAppend(), List.of());
    }
}
