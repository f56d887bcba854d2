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
package org.standlink.agent;

import java.net.InetSocketAddress;
import java.net.URI;
import org.standlink.ErrorCode;
import org.standlink.VmId;
import org.standlink.json.Addresses;
import org.standlink.json.JsonSection;
import org.standlink.json.ValidationErrors;
import org.standlink.lease.LeaseTimes;

/**
 * The settings of an agent.
 *
 * <p>{@code AgentSettings} is thread-safe and immutable.
 *
 * @param vm this VM
 * @param listen the address for connections of other standlink processes
 * @param adminListen the address for health checks and metrics
 * @param platform the address of the platform's log and VM list
 * @param worker the address of the local worker
 * @param upstream the address of the upstream on this VM
 * @param times the lengths of the leases
 * @param heartbeatMillis the interval between heartbeats, in milliseconds
 * @param claimAfterMillis how long the leader may be unresponsive before an agent claims
 *     leadership, in milliseconds
 * @param logRetentionMillis how long the log retains records, in milliseconds
 * @param drainMillis the maximum duration of a planned stop, in milliseconds
 */
public record AgentSettings(
        VmId vm,
        InetSocketAddress listen,
        InetSocketAddress adminListen,
        URI platform,
        URI worker,
        URI upstream,
        LeaseTimes times,
        long heartbeatMillis,
        long claimAfterMillis,
        long logRetentionMillis,
        long drainMillis) {

    /**
     * Parses and validates the settings.
     *
     * @param text the JSON text
     * @return the settings
     * @throws org.standlink.StandlinkException with code INVALID_SETTINGS, listing all errors
     */
    public static AgentSettings read(String text) {
        ValidationErrors errors = new ValidationErrors();
        JsonSection root = JsonSection.parse(text, errors);
        AgentSettings settings =
                new AgentSettings(
                        root.requiredValue("vm", VmId::parse),
                        root.requiredValue("listen", Addresses::parse),
                        root.requiredValue("adminListen", Addresses::parse),
                        root.requiredValue("platform", Addresses::parseHttp),
                        root.requiredValue("worker", Addresses::parseHttp),
                        root.requiredValue("upstream", Addresses::parseHttp),
                        readLeaseTimes(root.section("leases")),
                        root.integer("heartbeatMillis", 1000, 50, 10_000),
                        root.integer("claimAfterMillis", 4000, 100, 60_000),
                        root.integer("logRetentionMillis", 3_600_000, 1000, 604_800_000),
                        root.integer("drainMillis", 30_000, 100, 600_000));
        root.reportUnknownKeys();
        if (settings.times().nodeMillis() <= 2 * settings.heartbeatMillis()) {
            errors.add(
                    "leases.nodeMillis",
                    settings.times().nodeMillis() + " is not above two heartbeats",
                    "raise it or lower heartbeatMillis");
        }
        errors.throwIfAny(ErrorCode.INVALID_SETTINGS, "the agent's settings");
        return settings;
    }

    private static LeaseTimes readLeaseTimes(JsonSection section) {
        LeaseTimes defaults = LeaseTimes.DEFAULT;
        LeaseTimes times =
                new LeaseTimes(
                        section.integer("nodeMillis", defaults.nodeMillis(), 200, 600_000),
                        section.integer("workerMillis", defaults.workerMillis(), 200, 600_000),
                        section.integer(
                                "authorityMillis", defaults.authorityMillis(), 500, 86_400_000),
                        section.integer("marginMillis", defaults.marginMillis(), 10, 600_000));
        section.reportUnknownKeys();
        return times;
    }
}
