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
import org.standlink.cell.CellTimes;
import org.standlink.cell.JobCellLeader;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/** A process that leads for one epoch. */
final class SimulatedLeader {

    private final SimulationEnvironment world;
    private final Epoch epoch;
    private final SimulationEnvironment.ProcessLoop process;
    private final SimulatedStoreClient store;
    private final JobCellLeader leader;
    private final Supplier<LeaderNotice> newest;
    private boolean deposed;
    private boolean wholeFrozen;

    SimulatedLeader(
            SimulationEnvironment world,
            Epoch epoch,
            FakeKeyedStore kept,
            StoreFaults weather,
            CellTimes times,
            Configuration configuration,
            Supplier<EvacuatedHalls> evacuated,
            Supplier<LeaderNotice> newest) {
        this.world = world;
        this.epoch = epoch;
        this.newest = newest;
        this.process = world.newProcess();
        this.store = new SimulatedStoreClient(world, kept, weather);
        this.leader =
                new JobCellLeader(
                        epoch,
                        store,
                        times,
                        process.getClock(),
                        world.getClock()::nowMillis,
                        () -> configuration,
                        evacuated,
                        process.getLoop(),
                        this::depose);
        world.trace("leader of epoch " + epoch + " begins");
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

    /** Takes a message; a process that does not lead any more says who does. */
    void receive(MessageChannel channel, long call, Message message) {
        if (deposed) {
            channel.answer(call, newest.get());
        } else {
            leader.handle(channel, call, message);
        }
    }

    /** Freezes the leader's loop, or all of its process. */
    void freeze(long millis, boolean whole) {
        process.freeze(millis);
        wholeFrozen = whole;
    }

    /** Lets the leader throw wherever it reads its clock for the n-th time from now on. */
    void throwOnClockRead(long reading, Throwable thrown) {
        process.throwOnClockRead(reading, thrown);
    }

    /** Suspends the machine. */
    void suspend(long millis) {
        process.suspend(millis);
        wholeFrozen = true;
    }

    boolean isResponsive() {
        return !(wholeFrozen && process.isFrozen());
    }

    /** Ends the process at once. */
    void crash() {
        world.trace("leader of epoch " + epoch + " crashes");
        process.end();
    }

    private void depose() {
        world.trace("leader of epoch " + epoch + " is deposed");
        deposed = true;
        leader.close();
    }
}
