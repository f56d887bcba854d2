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
package org.standlink.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.VmEntry;
import org.standlink.port.VmListPort;

/**
 * A VM list in memory that tells of changes only after a while.
 *
 * <p>{@code MemoryVmList} is thread-safe.
 */
public final class MemoryVmList implements VmListPort {

    /** The clock. */
    private final MonotonicClock clock;

    /** How late changes are told, in milliseconds. */
    private final long lagMillis;

    /** A change that will be told. */
    private record Change(long atMillis, VmEntry entry) {}

    /** The changes not told yet, in order. */
    private final List<Change> changes = new ArrayList<>();

    /** What is told. */
    private final Map<VmId, VmEntry> told = new LinkedHashMap<>();

    /** Whether nothing is answered. */
    private boolean down;

    /**
     * Constructor.
     *
     * @param clock the clock
     * @param lagMillis how late changes are told, in milliseconds
     */
    public MemoryVmList(MonotonicClock clock, long lagMillis) {
        this.clock = clock;
        this.lagMillis = lagMillis;
    }

    /**
     * Changes what will be told of a VM.
     *
     * @param entry the VM
     */
    public synchronized void put(VmEntry entry) {
        changes.add(new Change(clock.nowMillis() + lagMillis, entry));
    }

    /**
     * Begins or ends an outage.
     *
     * @param isDown whether nothing is answered from now on
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    @Override
    public synchronized List<VmEntry> list() {
        if (down) {
            throw new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the list is down", "try again later");
        }
        long now = clock.nowMillis();
        changes.stream()
                .filter(change -> change.atMillis() <= now)
                .forEach(change -> told.put(change.entry().vm(), change.entry()));
        changes.removeIf(change -> change.atMillis() <= now);
        return List.copyOf(told.values());
    }
}
