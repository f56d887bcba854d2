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
package org.standlink.job;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.standlink.HallId;

/**
 * The halls that are evacuated: no run may be started there until the operator ends the evacuation.
 * Runs in progress there continue.
 *
 * <p>{@code EvacuatedHalls} is thread-safe and immutable.
 */
public final class EvacuatedHalls {

    /** No hall is evacuated. */
    public static final EvacuatedHalls NONE = new EvacuatedHalls(Set.of());

    private final Set<HallId> halls;

    private EvacuatedHalls(Set<HallId> halls) {
        this.halls = halls;
    }

    /**
     * Obtains an instance from a collection of halls.
     *
     * @param halls the evacuated halls, copied
     * @return the instance
     */
    public static EvacuatedHalls of(Collection<HallId> halls) {
        return halls.isEmpty() ? NONE : new EvacuatedHalls(Set.copyOf(halls));
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether a hall is evacuated.
     *
     * @param hall the hall
     * @return true if no run may be started there
     */
    public boolean contains(HallId hall) {
        return halls.contains(hall);
    }

    /**
     * Checks whether no hall is evacuated.
     *
     * @return true if no hall is evacuated
     */
    public boolean isEmpty() {
        return halls.isEmpty();
    }

    /**
     * Returns a copy with a change applied.
     *
     * @param change the change
     * @return the copy, this instance if nothing changes
     */
    public EvacuatedHalls with(EvacuationChange change) {
        if (halls.contains(change.hall()) == change.evacuated()) {
            return this;
        }
        Set<HallId> changed = new TreeSet<>(halls);
        if (change.evacuated()) {
            changed.add(change.hall());
        } else {
            changed.remove(change.hall());
        }
        return of(changed);
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object object) {
        return object instanceof EvacuatedHalls other && halls.equals(other.halls);
    }

    @Override
    public int hashCode() {
        return halls.hashCode();
    }

    @Override
    public String toString() {
        return new TreeSet<>(halls).toString();
    }
}
