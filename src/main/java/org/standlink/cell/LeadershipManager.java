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

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.admission.AdmissionListener;
import org.standlink.election.Claim;
import org.standlink.election.ClaimWriter;
import org.standlink.election.LeaderLink;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.lease.MonotonicClock;
import org.standlink.ordering.OrderMetrics;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.store.KeyedStore;
import org.standlink.store.WriterId;
import org.standlink.wire.Hello;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/**
 * Manages the leadership of a process that may lead: starts a leader when a claim of this process
 * is the newest, and stops it when the claim of another process is.
 *
 * <p>{@code LeadershipManager} is thread-safe.
 */
public final class LeadershipManager {

    /** The pause before a failed resignation is retried, in milliseconds. */
    private static final long RESIGNATION_RETRY_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(LeadershipManager.class);

    private final KeyedStore store;
    private final CellTimes times;
    private final ContentionOptions contention;
    private final AdmissionListener admissions;
    private final OrderMetrics orderMetrics;
    private final MonotonicClock clock;
    private final ScheduledExecutorService loop;

    /** The incarnation of this process. */
    private final Incarnation self;

    /** Writes the resignations of this process. */
    private final ClaimWriter claims;

    /** The leader known to this process. */
    private final LeaderLink link;

    /** The halls that this process knows to be evacuated. */
    private final Supplier<EvacuatedHalls> evacuated;

    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.NONE);

    /** The newest claim; guarded by this. */
    private Claim newestClaim = Claim.NONE;

    /** The leader in this process, null if it does not lead; guarded by this. */
    private JobCellLeader leader;

    /**
     * Creates a manager of the leadership of this process.
     *
     * @param store the store
     * @param times the durations agreed with the agents
     * @param contention the decisions for contended workers
     * @param admissions is notified of the backlog and of refused submissions
     * @param orderMetrics receives the figures of the predictions
     * @param clock the clock
     * @param loop the executor of the event loop, of one thread
     * @param self the incarnation of this process
     * @param claims writes the resignations of this process
     * @param link the leader known to this process
     * @param evacuated the halls that this process knows to be evacuated
     */
    public LeadershipManager(
            KeyedStore store,
            CellTimes times,
            ContentionOptions contention,
            AdmissionListener admissions,
            OrderMetrics orderMetrics,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            Incarnation self,
            ClaimWriter claims,
            LeaderLink link,
            Supplier<EvacuatedHalls> evacuated) {
        this.store = store;
        this.times = times;
        this.contention = contention;
        this.admissions = admissions;
        this.orderMetrics = orderMetrics;
        this.clock = clock;
        this.loop = loop;
        this.self = self;
        this.claims = claims;
        this.link = link;
        this.evacuated = evacuated;
    }

    /**
     * Puts a configuration in force, unless it is older than the present one.
     *
     * @param offered the configuration
     */
    public void offerConfiguration(Configuration offered) {
        configuration.updateAndGet(
                current -> offered.version() > current.version() ? offered : current);
    }

    /**
     * Applies a claim that was read from the store; one that is older than the newest is ignored.
     *
     * @param claim the claim
     */
    public synchronized void applyClaim(Claim claim) {
        if (claim.epoch().compareTo(newestClaim.epoch()) < 0 || claim.equals(newestClaim)) {
            return;
        }
        newestClaim = claim;
        LOG.info("claim-read")
                .with("epoch", claim.epoch())
                .with("address", claim.address())
                .with("mine", claim.holder().equals(self))
                .write();
        stopLeader();
        if (!claim.isHeld()) {
            link.leaderResigned(claim.epoch());
            return;
        }
        if (isHeldBySelf(claim)) {
            leader =
                    new JobCellLeader(
                            new WriterId(claim.epoch(), self),
                            store,
                            times,
                            contention,
                            orderMetrics,
                            clock,
                            System::currentTimeMillis,
                            configuration::get,
                            evacuated,
                            loop,
                            admissions,
                            new EndHandler(claim.epoch()));
            leader.start();
        }
        link.offer(new LeaderNotice(claim.epoch(), claim.address()), "store");
    }

    /**
     * Handles a message for the leader; a process that does not lead answers with the leader it
     * knows.
     *
     * @param connection the connection that it arrived on
     * @param call the number of the call to answer
     * @param message the message
     */
    public void handle(MessageChannel connection, long call, Message message) {
        JobCellLeader current;
        synchronized (this) {
            current = leader;
        }
        if (message instanceof Hello) {
            return;
        }
        if (message instanceof LeaderNotice notice) {
            link.offer(notice, "announcement");
        } else if (current == null) {
            connection.answer(call, link.getLeader());
        } else {
            current.handle(connection, call, message);
        }
    }

    /**
     * Resigns the leadership, so that another process can take over at once.
     *
     * @param timeoutMillis the time allowed, in milliseconds; not enforced here
     * @return completed when the store has accepted the resignation; at once if this process does
     *     not lead; fails with CONDITION_FAILED if there is a newer claim
     */
    public synchronized CompletableFuture<Long> resign(long timeoutMillis) {
        if (!isHeldBySelf(newestClaim)) {
            return CompletableFuture.completedFuture(0L);
        }
        stopLeader();
        LOG.info("resigning").with("epoch", newestClaim.epoch()).write();
        return claims.write(newestClaim.resigned());
    }

    // -----------------------------------------------------------------------

    /**
     * Resigns on behalf of a leader that has ended; repeated until a claim shows that its
     * leadership has ended. If there is a newer claim, this process reads it soon, and the store
     * refuses the resignation until then.
     *
     * @param event what is logged
     */
    private synchronized void vacateClaim(Epoch epoch, String event) {
        if (!isHeldBySelf(newestClaim) || !newestClaim.epoch().equals(epoch)) {
            return;
        }
        stopLeader();
        LOG.info(event).with("epoch", epoch).write();
        Guarded.onCompletionAsync(
                event,
                claims.write(newestClaim.resigned()),
                loop,
                (end, failure) -> handleResignation(epoch, event, failure));
    }

    private boolean isHeldBySelf(Claim claim) {
        return claim.isHeld() && claim.holder().equals(self);
    }

    private void handleResignation(Epoch epoch, String event, Throwable failure) {
        if (failure != null) {
            LOG.info("resignation-failed").with("epoch", epoch).with("cause", failure).write();
            loop.schedule(
                    () -> vacateClaim(epoch, event),
                    RESIGNATION_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the leadership of one leader. */
    private final class EndHandler implements LeaderEndListener {

        /** The epoch of the leader. */
        private final Epoch epoch;

        EndHandler(Epoch epoch) {
            this.epoch = epoch;
        }

        @Override
        public void leaderDeposed() {
            stopLeader();
            vacateClaim(epoch, "resigning-after-deposition");
        }

        @Override
        public void leaderFailed() {
            vacateClaim(epoch, "resigning-after-failure");
        }
    }

    private synchronized void stopLeader() {
        if (leader != null) {
            leader.close();
            leader = null;
        }
    }
}
