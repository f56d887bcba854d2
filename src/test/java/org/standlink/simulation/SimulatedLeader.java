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
package org.standlink.simulation;

import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.admission.AdmissionListener;
import org.standlink.cell.CellTimes;
import org.standlink.cell.ContentionOptions;
import org.standlink.cell.JobCellLeader;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.WriterId;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/** A leader process of one epoch. */
final class SimulatedLeader {

    /**
     * The decisions for contended workers: all turned on by {@code
     * -Dstandlink.simulation.contention=true}, otherwise off.
     */
    private static final ContentionOptions CONTENTION =
            Boolean.getBoolean("standlink.simulation.contention")
                    ? new ContentionOptions(true, true)
                    : ContentionOptions.NONE;

    private final SimulationEnvironment environment;
    private final Epoch epoch;
    private final SimulationEnvironment.ProcessLoop process;
    private final SimulatedStoreClient store;
    private final JobCellLeader leader;
    private final Supplier<LeaderNotice> newestNotice;
    private boolean deposed;
    private boolean wholeProcessFrozen;

    SimulatedLeader(
            SimulationEnvironment environment,
            Epoch epoch,
            FakeKeyedStore sharedStore,
            StoreFaults sharedFaults,
            CellTimes times,
            Configuration configuration,
            Supplier<EvacuatedHalls> evacuatedHalls,
            Supplier<LeaderNotice> newestNotice) {
        this.environment = environment;
        this.epoch = epoch;
        this.newestNotice = newestNotice;
        this.process = environment.newProcess();
        this.store = new SimulatedStoreClient(environment, sharedStore, sharedFaults);
        this.leader =
                new JobCellLeader(
                        new WriterId(epoch, Incarnation.of(epoch.getValue())),
                        store,
                        times,
                        CONTENTION,
                        OrderMetrics.NONE,
                        process.getClock(),
                        environment.getClock()::nowMillis,
                        () -> configuration,
                        evacuatedHalls,
                        process.getLoop(),
                        AdmissionListener.NONE,
                        this::depose);
        environment.trace("leader of epoch " + epoch + " started");
        leader.start();
    }

    Epoch getEpoch() {
        return epoch;
    }

    SimulatedStoreClient getStore() {
        return store;
    }

    LeaderNotice toNotice() {
        return new LeaderNotice(epoch, "leader-" + epoch);
    }

    /** Handles a message; a deposed leader answers with the address of the newest one. */
    void receive(MessageChannel channel, long call, Message message) {
        if (deposed) {
            channel.answer(call, newestNotice.get());
        } else {
            leader.handle(channel, call, message);
        }
    }

    /** Freezes the event loop, or the whole process, which then does not answer keep-alives. */
    void freeze(long millis, boolean wholeProcess) {
        process.freeze(millis);
        wholeProcessFrozen = wholeProcess;
    }

    /** Makes the leader throw once, at the n-th read of its clock from now on. */
    void throwOnClockRead(long clockReads, Throwable throwable) {
        process.throwOnClockRead(clockReads, throwable);
    }

    /** Suspends the machine; the clock of the leader does not advance meanwhile. */
    void suspend(long millis) {
        process.suspend(millis);
        wholeProcessFrozen = true;
    }

    /** Checks whether the process answers keep-alives. */
    boolean isResponsive() {
        return !(wholeProcessFrozen && process.isFrozen());
    }

    /** Ends the process without notice. */
    void crash() {
        environment.trace("leader of epoch " + epoch + " crashed");
        process.end();
    }

    private void depose() {
        environment.trace("leader of epoch " + epoch + " deposed");
        deposed = true;
        leader.close();
    }
}
