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

import org.standlink.VmId;
import org.standlink.lease.Lease;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.WorkerLease;
import org.standlink.port.WorkerPort;

/**
 * Acquires and renews the lease of the local worker.
 *
 * <p>{@code WorkerLeaseHolder} is mutable and not thread-safe; its owner guards it.
 */
final class WorkerLeaseHolder {

    /** The number of renewals during the length of a lease. */
    private static final int RENEWALS_PER_LEASE = 3;

    private final VmId self;
    private final WorkerPort worker;
    private final MonotonicClock clock;

    /** The lease as issued by the worker, null if none is held. */
    private WorkerLease token;

    /** The time during which the lease is certainly held. */
    private Lease lease = Lease.NONE;

    /** When the lease is renewed next, in milliseconds. */
    private long nextRenewalMillis;

    WorkerLeaseHolder(VmId self, WorkerPort worker, MonotonicClock clock) {
        this.self = self;
        this.worker = worker;
        this.clock = clock;
    }

    /**
     * Acquires the lease, or renews it if that is due.
     *
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if the lease must be
     *     discarded
     */
    void acquireOrRenew() {
        long requestMillis = clock.nowMillis();
        if (token != null && isLive() && requestMillis < nextRenewalMillis) {
            return;
        }
        token = token == null ? worker.acquire(self.toString()) : worker.renew(token);
        lease = Lease.ofRequestTime(requestMillis, token.lengthMillis());
        nextRenewalMillis = requestMillis + token.lengthMillis() / RENEWALS_PER_LEASE;
    }

    /** Discards the lease, so that a new one is acquired. */
    void discard() {
        token = null;
        lease = Lease.NONE;
    }

    /**
     * Checks whether the lease is certainly held.
     *
     * @return true if so
     */
    boolean isLive() {
        return lease.isLive(clock.nowMillis());
    }

    /**
     * Gets the lease as issued by the worker.
     *
     * @return the lease, null if none is held
     */
    WorkerLease getToken() {
        return token;
    }
}
