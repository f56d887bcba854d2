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

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests handovers between three processes that are partitioned, frozen, stopped and ended in random
 * order, several at a time. Calls during a partition may be executed after it.
 *
 * <p>Guards against epochs that are claimed twice and accepted jobs that are lost, in orders that
 * {@link TestLeadershipHandover} does not list. The seeds can be set by system properties.
 */
public class TestRandomHandovers {

    private static final long FIRST_SEED = Long.getLong("standlink.handover.first", 1);
    private static final long SEEDS = Long.getLong("standlink.handover.count", 20);
    private static final long DISTURBED_MILLIS = 15_000;
    private static final long CALM_MILLIS = 8000;
    private static final List<String> ADDRESSES = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");

    private static void play(long seed) {
        SimulationEnvironment environment = new SimulationEnvironment(seed);
        ContentionScene scene = new ContentionScene(environment);
        ADDRESSES.forEach(scene::start);
        scene.run(1000);
        while (environment.elapsed() < DISTURBED_MILLIS) {
            disturb(scene, ADDRESSES.get((int) environment.draw(0, ADDRESSES.size() - 1)));
            scene.run(environment.draw(50, 900));
        }
        for (String address : ADDRESSES) {
            if (scene.find(address) == null) {
                scene.start(address);
            }
        }
        scene.run(CALM_MILLIS);
        String day = "seed " + seed;
        scene.assertEpochsAreClaimedOnce(day);
        scene.assertAcceptedJobsAreStored(day);
        scene.assertJobsAreAccepted(day);
    }

    private static void disturb(ContentionScene scene, String address) {
        SimulationEnvironment environment = scene.getEnvironment();
        SimulatedContender process = scene.find(address);
        if (process == null) {
            scene.start(address);
            return;
        }
        switch ((int) environment.draw(0, 3)) {
            case 0 -> process.cutOff(environment.draw(200, 4000));
            case 1 -> process.getProcess().freeze(environment.draw(200, 4000));
            case 2 -> process.stop();
            default -> process.end();
        }
    }

    // -----------------------------------------------------------------------
    @Test
    public void noEpochIsClaimedTwiceAndNoAcceptedJobIsLost() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            play(seed);
        }
    }
}
