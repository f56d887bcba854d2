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
 * The resources that each team uses of its quota during one planning round.
 *
 * <p>{@code QuotaUsage} is mutable and not thread-safe; each planning round creates its own.
 */
public final class QuotaUsage {

    private final Map<TeamId, Resources> quotas;
    private final Map<TeamId, Resources> used = new HashMap<>();

    /**
     * Creates an instance in which no team uses any resources.
     *
     * @param quotas the quotas; a team without one has no limit
     */
    public QuotaUsage(Map<TeamId, Resources> quotas) {
        this.quotas = Map.copyOf(quotas);
    }

    /**
     * Adds to the resources that a team uses.
     *
     * @param team the team, null for a task whose job no longer exists
     * @param amount the resources to add
     */
    public void add(TeamId team, Resources amount) {
        if (team != null) {
            used.merge(team, amount, Resources::plus);
        }
    }

    /**
     * Checks whether a team's quota permits further resources.
     *
     * @param team the team
     * @param amount the further resources
     * @return the reason why they are not permitted, null if they are
     */
    public WaitingReason findViolation(TeamId team, Resources amount) {
        Resources quota = quotas.get(team);
        if (quota == null || quota.equals(Resources.NONE)) {
            return null;
        }
        if (!amount.fitsIn(quota)) {
            return WaitingReason.QUOTA_TOO_SMALL;
        }
        Resources total = used.getOrDefault(team, Resources.NONE).plus(amount);
        return total.fitsIn(quota) ? null : WaitingReason.OVER_QUOTA;
    }

    /**
     * Gets the share of its quota that a team uses of processors or memory, whichever is larger.
     * Teams with a smaller share are served first.
     *
     * @param team the team
     * @return the share, 0 if the team has no quota
     */
    public double getDominantShare(TeamId team) {
        Resources quota = quotas.get(team);
        Resources usage = used.getOrDefault(team, Resources.NONE);
        if (quota == null) {
            return 0;
        }
        double cores = fraction(usage.milliCores(), quota.milliCores());
        double memory = fraction(usage.memoryMegabytes(), quota.memoryMegabytes());
        return Math.max(cores, memory);
    }

    private static double fraction(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
