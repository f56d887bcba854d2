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
 * Answers reports of agents with leases, for as long as the leader may grant any.
 *
 * <p>{@code LeaseGranter} is not thread-safe; the leader's loop owns it.
 */
final class LeaseGranter {

    /** The epoch of the leader. */
    private final Epoch epoch;

    /** Keeps changes, and tells how long the store has been silent. */
    private final CommitQueue commits;

    /** The agents. */
    private final AgentRegistry agents;

    /** Handles what is reported. */
    private final AgentReportHandler reports;

    /** Tells agents what is believed of images. */
    private final InterferenceLearner figures;

    /** The lengths of time agreed on. */
    private final CellTimes times;

    /** The clock. */
    private final MonotonicClock clock;

    /**
     * Constructor.
     *
     * @param epoch the epoch of the leader
     * @param commits keeps changes, and tells how long the store has been silent
     * @param agents the agents
     * @param reports handles what is reported
     * @param figures tells agents what is believed of images
     * @param times the lengths of time agreed on
     * @param clock the clock
     */
    LeaseGranter(
            Epoch epoch,
            CommitQueue commits,
            AgentRegistry agents,
            AgentReportHandler reports,
            InterferenceLearner figures,
            CellTimes times,
            MonotonicClock clock) {
        this.epoch = epoch;
        this.commits = commits;
        this.agents = agents;
        this.reports = reports;
        this.figures = figures;
        this.times = times;
        this.clock = clock;
    }

    /**
     * Handles a report.
     *
     * @param connection where it came from
     * @param report the report
     * @return the answer, null if the report was overtaken and gets none
     */
    AgentGrant handle(MessageChannel connection, AgentReport report) {
        if (!agents.accept(report, clock.nowMillis())) {
            return null;
        }
        long silent = commits.getMillisSinceAppend();
        boolean entitled = silent < CellTimes.AUTHORITY_MILLIS;
        long until = entitled ? clock.nowMillis() + times.leaseMillis() : 0;
        boolean counts = reports.handle(connection, report, until);
        return new AgentGrant(
                epoch,
                agents.getGeneration(report.incarnation()),
                entitled && counts ? times.leaseMillis() : 0,
                silent,
                figures.listIfChanged(connection));
    }

    /**
     * Answers a report while the leader still reads its state.
     *
     * @return the answer, without a lease
     */
    AgentGrant grantNoLease() {
        return new AgentGrant(
                epoch, LeaseGeneration.NONE, 0, commits.getMillisSinceAppend(), List.of());
    }
}
