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
package org.standlink.policy;

import java.util.HashMap;
import java.util.Map;
import org.standlink.Resources;
import org.standlink.TeamId;

/**
 * What each team holds of its quota during one round of planning.
 *
 * <p>{@code QuotaUsage} is mutable and not thread-safe; each round of planning makes its own.
 */
public final class QuotaUsage {

    /** The quotas. */
    private final Map<TeamId, Resources> quotas;

    /** What the teams hold. */
    private final Map<TeamId, Resources> held = new HashMap<>();

    /**
     * Constructor.
     *
     * @param quotas the quotas; a team without one has no limit
     */
    public QuotaUsage(Map<TeamId, Resources> quotas) {
        this.quotas = Map.copyOf(quotas);
    }

    /**
     * Notes that a team holds more.
     *
     * @param team the team, null for work whose job is gone
     * @param amount what it holds more
     */
    public void add(TeamId team, Resources amount) {
        if (team != null) {
            held.merge(team, amount, Resources::plus);
        }
    }

    /**
     * Says whether a team may hold more.
     *
     * @param team the team
     * @param amount what it wants
     * @return null if it may, else the reason why not
     */
    public WaitingReason findViolation(TeamId team, Resources amount) {
        Resources quota = quotas.get(team);
        if (quota == null || quota.equals(Resources.NONE)) {
            return null;
        }
        if (!amount.fitsIn(quota)) {
            return WaitingReason.QUOTA_TOO_SMALL;
        }
        Resources sum = held.getOrDefault(team, Resources.NONE).plus(amount);
        return sum.fitsIn(quota) ? null : WaitingReason.OVER_QUOTA;
    }

    /**
     * Gets the largest share of its quota that a team holds, by which teams are ordered.
     *
     * @param team the team
     * @return the share, 0 without a quota
     */
    public double getDominantShare(TeamId team) {
        Resources quota = quotas.get(team);
        Resources now = held.getOrDefault(team, Resources.NONE);
        if (quota == null) {
            return 0;
        }
        double cores = share(now.milliCores(), quota.milliCores());
        double memory = share(now.memoryMegabytes(), quota.memoryMegabytes());
        return Math.max(cores, memory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
