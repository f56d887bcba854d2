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
package org.standlink.runner;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;

/**
 * The lives of workers that are over, as far as anybody may still speak of them.
 *
 * <p>{@code EndedIncarnations} is mutable and not thread-safe; the agent's loop owns it.
 */
final class EndedIncarnations {

    /**
     * How long a life that is over is remembered, in milliseconds. A later heartbeat of it makes
     * the agent ask once more who is there.
     */
    private static final long REMEMBERED_MILLIS = 60_000;

    /** How many are remembered at most: one id may be used again thousands of times. */
    private static final int MOST_REMEMBERED = 64;

    /** When each was found to be over, on the agent's clock, the oldest first. */
    private final Map<WorkerIncarnation, Long> lives = new LinkedHashMap<>();

    /** The ids under which another life has answered that has not said what it is. */
    private final Set<WorkerId> awaited = new HashSet<>();

    /**
     * Takes note that a life is over.
     *
     * @param life the life
     * @param now the time on the agent's clock, in milliseconds
     * @return false if that was known
     */
    boolean add(WorkerIncarnation life, long now) {
        lives.values().removeIf(at -> now - at > REMEMBERED_MILLIS);
        boolean added = lives.putIfAbsent(life, now) == null;
        if (lives.size() > MOST_REMEMBERED) {
            lives.remove(lives.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Checks whether a life is known to be over.
     *
     * @param life the life
     * @return true if so
     */
    boolean contains(WorkerIncarnation life) {
        return lives.containsKey(life);
    }

    /**
     * Checks whether a worker has told the birth of one of these lives.
     *
     * @param id the id of the worker
     * @return true if so
     */
    boolean hasKnownStartTime(WorkerId id) {
        return lives.keySet().stream()
                .anyMatch(life -> life.hasStartTime() && life.getId().equals(id));
    }

    /**
     * Takes note that another life answers under an id. Nobody is told what is over under that id
     * until the life has said what it is: only its lists tell what became of the runs.
     *
     * @param id the id
     */
    void awaitIdentification(WorkerId id) {
        awaited.add(id);
    }

    /**
     * Takes note that the life that answers under an id has said what it is.
     *
     * @param id the id
     */
    void identified(WorkerId id) {
        awaited.remove(id);
    }

    /**
     * Lists the lives that the leader is to be told of.
     *
     * @return the lives
     */
    List<WorkerIncarnation> list() {
        return lives.keySet().stream().filter(life -> !awaited.contains(life.getId())).toList();
    }
}
