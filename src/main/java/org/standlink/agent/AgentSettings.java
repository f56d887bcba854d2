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
import org.standlink.json.Faults;
import org.standlink.json.JsonSection;
import org.standlink.lease.LeaseTimes;

/**
 * The settings of an agent.
 *
 * <p>{@code AgentSettings} is thread-safe and immutable.
 *
 * @param vm this VM
 * @param listen where other processes of standlink reach this one
 * @param adminListen where health and metrics are served
 * @param platform the platform's log and VM list
 * @param worker the local worker
 * @param upstream the upstream beside this agent
 * @param times the lengths of leases
 * @param heartbeatMillis the time between heartbeats, in milliseconds
 * @param claimAfterMillis how long the leader is silent before it is replaced, in milliseconds
 * @param logRetentionMillis how long the log keeps records, in milliseconds
 * @param drainMillis how long a planned stop may take, in milliseconds
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
     * Reads and checks the settings.
     *
     * @param text the JSON text
     * @return the settings
     * @throws org.standlink.StandlinkException with code INVALID_SETTINGS, listing every fault
     */
    public static AgentSettings read(String text) {
        Faults faults = new Faults();
        JsonSection top = JsonSection.parse(text, faults);
        AgentSettings settings =
                new AgentSettings(
                        top.requiredValue("vm", VmId::parse),
                        top.requiredValue("listen", Addresses::parse),
                        top.requiredValue("adminListen", Addresses::parse),
                        top.requiredValue("platform", Addresses::parseHttp),
                        top.requiredValue("worker", Addresses::parseHttp),
                        top.requiredValue("upstream", Addresses::parseHttp),
                        times(top.section("leases")),
                        top.integer("heartbeatMillis", 1000, 50, 10_000),
                        top.integer("claimAfterMillis", 4000, 100, 60_000),
                        top.integer("logRetentionMillis", 3_600_000, 1000, 604_800_000),
                        top.integer("drainMillis", 30_000, 100, 600_000));
        top.finish();
        if (settings.times().nodeMillis() <= 2 * settings.heartbeatMillis()) {
            faults.add(
                    "leases.nodeMillis",
                    settings.times().nodeMillis() + " is not above two heartbeats",
                    "raise it or lower heartbeatMillis");
        }
        faults.throwIfAny(ErrorCode.INVALID_SETTINGS, "the agent's settings");
        return settings;
    }

    private static LeaseTimes times(JsonSection from) {
        LeaseTimes standard = LeaseTimes.DEFAULT;
        LeaseTimes times =
                new LeaseTimes(
                        from.integer("nodeMillis", standard.nodeMillis(), 200, 600_000),
                        from.integer("workerMillis", standard.workerMillis(), 200, 600_000),
                        from.integer(
                                "authorityMillis", standard.authorityMillis(), 500, 86_400_000),
                        from.integer("marginMillis", standard.marginMillis(), 10, 600_000));
        from.finish();
        return times;
    }
}
