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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.election.Claim;
import org.standlink.election.LeaderLink;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.store.KeyedStore;
import org.standlink.store.Topic;
import org.standlink.wire.Hello;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/**
 * The place of the leader in a process that may lead: takes it when a claim of this process is the
 * newest, leaves it when another one's is.
 *
 * <p>{@code LeadershipManager} is thread-safe.
 */
public final class LeadershipManager {

    /** The pause before a place that could not be given up is given up again, in milliseconds. */
    private static final long PAUSE_MILLIS = 500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(LeadershipManager.class);

    /** The store. */
    private final KeyedStore store;

    /** The lengths of time agreed on. */
    private final CellTimes times;

    /** The clock. */
    private final MonotonicClock clock;

    /** The loop. */
    private final ScheduledExecutorService loop;

    /** The run of this process. */
    private final Incarnation self;

    /** The leader, as this process knows it. */
    private final LeaderLink link;

    /** The halls that this process knows to be evacuated. */
    private final Supplier<EvacuatedHalls> evacuated;

    /** The configuration in force. */
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.NONE);

    /** The newest claim; guarded by this. */
    private Claim newest = Claim.NONE;

    /** The leader in this process, null if it does not lead; guarded by this. */
    private JobCellLeader leader;

    /**
     * Constructor.
     *
     * @param store the store
     * @param times the lengths of time agreed on
     * @param clock the clock
     * @param loop the loop, of one thread
     * @param self the run of this process
     * @param link the leader, as this process knows it
     * @param evacuated the halls that this process knows to be evacuated
     */
    public LeadershipManager(
            KeyedStore store,
            CellTimes times,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            Incarnation self,
            LeaderLink link,
            Supplier<EvacuatedHalls> evacuated) {
        this.store = store;
        this.times = times;
        this.clock = clock;
        this.loop = loop;
        this.self = self;
        this.link = link;
        this.evacuated = evacuated;
    }

    /**
     * Takes note of a configuration; an older one than the one in force is passed over.
     *
     * @param offered the configuration
     */
    public void offerConfiguration(Configuration offered) {
        configuration.updateAndGet(
                present -> offered.version() > present.version() ? offered : present);
    }

    /**
     * Takes note of a claim that was read; an older one than the newest is passed over.
     *
     * @param claim the claim
     */
    public synchronized void applyClaim(Claim claim) {
        if (claim.epoch().compareTo(newest.epoch()) < 0 || claim.equals(newest)) {
            return;
        }
        newest = claim;
        LOG.info("claim-read")
                .with("epoch", claim.epoch())
                .with("address", claim.address())
                .with("mine", claim.holder().equals(self))
                .write();
        leave();
        if (!claim.isHeld()) {
            link.leaderResigned(claim.epoch());
            return;
        }
        if (claim.holder().equals(self)) {
            leader =
                    new JobCellLeader(
                            claim.epoch(),
                            store,
                            times,
                            clock,
                            System::currentTimeMillis,
                            configuration::get,
                            evacuated,
                            loop,
                            new PlaceHolder(claim.epoch()));
            leader.start();
        }
        link.offer(new LeaderNotice(claim.epoch(), claim.address()), "store");
    }

    /**
     * Handles a message for the leader; a process that does not lead says who does.
     *
     * @param connection where it came from
     * @param call the number to answer under
     * @param message the message
     */
    public void handle(MessageChannel connection, long call, Message message) {
        JobCellLeader present;
        synchronized (this) {
            present = leader;
        }
        if (message instanceof Hello) {
            return;
        }
        if (message instanceof LeaderNotice notice) {
            link.offer(notice, "announcement");
        } else if (present == null) {
            connection.answer(call, link.getLeader());
        } else {
            present.handle(connection, call, message);
        }
    }

    /**
     * Leaves the place in order, so that another process takes it at once.
     *
     * @param timeoutMillis how long it may take, in milliseconds
     * @return done when the store has taken it; done at once if this process does not lead
     */
    public synchronized CompletableFuture<Long> resign(long timeoutMillis) {
        if (leader == null) {
            return CompletableFuture.completedFuture(0L);
        }
        leave();
        LOG.info("resigning").with("epoch", newest.epoch()).write();
        return vacate(newest.epoch());
    }

    // -----------------------------------------------------------------------
    private CompletableFuture<Long> vacate(Epoch epoch) {
        Claim vacant = new Claim(epoch, "", self);
        return store.readEnd(Topic.CLAIMS)
                .thenCompose(end -> store.appendAt(Topic.CLAIMS, List.of(vacant.toRecord()), end));
    }

    /** Gives up the place of a leader that has failed, until the claim is seen to be over. */
    private synchronized void giveUp(Epoch epoch) {
        if (!newest.isHeld() || !newest.epoch().equals(epoch)) {
            return;
        }
        leave();
        LOG.info("resigning-after-failure").with("epoch", epoch).write();
        Guarded.thenOn(
                "resigning-after-failure",
                vacate(epoch),
                loop,
                (end, failure) -> gaveUp(epoch, failure));
    }

    private void gaveUp(Epoch epoch, Throwable failure) {
        if (failure != null) {
            LOG.info("resignation-failed").with("epoch", epoch).with("cause", failure).write();
            loop.schedule(() -> giveUp(epoch), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Looks after the place of one leader. */
    private final class PlaceHolder implements LeaderEndListener {

        /** The epoch of the leader. */
        private final Epoch epoch;

        PlaceHolder(Epoch epoch) {
            this.epoch = epoch;
        }

        @Override
        public void leaderDeposed() {
            leave();
        }

        @Override
        public void leaderFailed() {
            giveUp(epoch);
        }
    }

    private synchronized void leave() {
        if (leader != null) {
            leader.close();
            leader = null;
        }
    }
}
