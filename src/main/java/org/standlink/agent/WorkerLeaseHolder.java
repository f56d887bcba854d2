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
 * Takes and renews the lease of the local worker.
 *
 * <p>{@code WorkerLeaseHolder} is mutable and not thread-safe; its owner guards it.
 */
final class WorkerLeaseHolder {

    /** Renewals in one length of the lease. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** This VM, which names the holder. */
    private final VmId self;

    /** The worker. */
    private final WorkerPort worker;

    /** The clock. */
    private final MonotonicClock clock;

    /** The lease as the worker names it, null if none is held. */
    private WorkerLease token;

    /** How long it is held for sure. */
    private Lease lease = Lease.NONE;

    /** When it is renewed, in milliseconds. */
    private long renewMillis;

    /**
     * Constructor.
     *
     * @param self this VM, which names the holder
     * @param worker the worker
     * @param clock the clock
     */
    WorkerLeaseHolder(VmId self, WorkerPort worker, MonotonicClock clock) {
        this.self = self;
        this.worker = worker;
        this.clock = clock;
    }

    /**
     * Takes or renews the lease if that is due.
     *
     * @throws org.standlink.StandlinkException with code LEASE_LAPSED if it must be taken anew
     */
    void acquireOrRenew() {
        long asked = clock.nowMillis();
        if (token != null && isLive() && asked < renewMillis) {
            return;
        }
        token = token == null ? worker.acquire(self.toString()) : worker.renew(token);
        lease = Lease.ofRequestTime(asked, token.lengthMillis());
        renewMillis = asked + token.lengthMillis() / RENEWALS_PER_LEASE;
    }

    /** Lets the lease go, so that it is taken anew. */
    void discard() {
        token = null;
        lease = Lease.NONE;
    }

    /**
     * Checks whether the lease is held for sure.
     *
     * @return true if so
     */
    boolean isLive() {
        return lease.isLive(clock.nowMillis());
    }

    /**
     * Gets the lease as the worker names it.
     *
     * @return the lease, null if none is held
     */
    WorkerLease getToken() {
        return token;
    }
}
