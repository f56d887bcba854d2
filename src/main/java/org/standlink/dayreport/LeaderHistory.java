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
package org.standlink.dayreport;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Tracks which machine leads, so that decisions of a replaced leader, which were never stored, are
 * not counted.
 *
 * <p>Before the first line {@code leading}, and for lines without the name of a machine, every
 * decision counts.
 *
 * <p>{@code LeaderHistory} is not thread-safe.
 */
final class LeaderHistory {

    /** The number of changes that are listed; more than this do not fit on a screen. */
    private static final int MAX_LISTED = 30;

    private static final long NONE = -1;

    private final List<String> changes = new ArrayList<>();

    private long unlistedChanges;

    private String leadingPlace = "";

    private long leadingEpoch = NONE;

    /** The machine that is taking over: it decides about stored jobs while it reads its state. */
    private String successorPlace = "";

    private long successorEpoch = NONE;

    /**
     * Records a change of leader.
     *
     * @param line a line about the beginning or the end of a leader
     */
    void record(LogLine line) {
        long epoch = line.number("epoch");
        if (line.event().equals("taking-over") && epoch > successorEpoch) {
            successorPlace = line.place();
            successorEpoch = epoch;
        } else if (line.event().equals("leading") && epoch >= leadingEpoch) {
            leadingPlace = line.place();
            leadingEpoch = epoch;
        }
        if (changes.size() < MAX_LISTED) {
            changes.add(
                    String.format(
                            Locale.ROOT,
                            "%9s s  %-16s epoch %-4d %s",
                            Seconds.format(line.timeMillis()),
                            line.event(),
                            epoch,
                            line.place()));
        } else {
            unlistedChanges++;
        }
    }

    /**
     * Checks whether a line was written by a leader after another one had replaced it.
     *
     * @param line a line of a leader
     * @return true if its decision was not stored
     */
    boolean isSuperseded(LogLine line) {
        String place = line.place();
        return leadingEpoch != NONE
                && !place.isEmpty()
                && !place.equals(leadingPlace)
                && !isTakingOver(line);
    }

    /**
     * Checks whether a line was written by a leader while it read the stored state.
     *
     * @param line a line of a leader
     */
    boolean isTakingOver(LogLine line) {
        return line.place().equals(successorPlace) && successorEpoch > leadingEpoch;
    }

    /** Lists the changes as texts. */
    List<String> getChanges() {
        return List.copyOf(changes);
    }

    /** Gets the number of changes that are not listed. */
    long getUnlistedChanges() {
        return unlistedChanges;
    }
}
