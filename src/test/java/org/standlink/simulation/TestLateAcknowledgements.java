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

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests that a late acknowledgement makes no later incarnation of a worker discard the end of a run
 * that was started late there.
 *
 * <p>Guards against a completed task that is started again. The worker is lost after it has left a
 * start call and a renewal that acknowledges ends unanswered. Its next incarnation executes the
 * start, and then the renewal under the same fence or a higher one. As the numbers of ends restart
 * with each incarnation, it discards the end of that run, which no agent has seen. It does not
 * matter which of the two calls was sent first.
 */
public class TestLateAcknowledgements {

    /** The time in which a replaced process resumes its work. */
    private static final long TAKEOVER_MILLIS = 600;

    /** The time in which an acknowledgement may follow the ends of a job. */
    private static final long ACKNOWLEDGEMENT_MILLIS = 450;

    private final List<String> violations = new ArrayList<>();

    private void play(String variant, Consumer<LateAcknowledgementScene> events) {
        for (LateAcknowledgementScene.Blindness blindness :
                LateAcknowledgementScene.Blindness.values()) {
            LateAcknowledgementScene scene = new LateAcknowledgementScene();
            events.accept(scene);
            scene.executeHeldCalls(blindness);
            for (String violation : scene.finish()) {
                violations.add(variant + ", " + blindness + ": " + violation);
            }
        }
    }

    private void assertNoViolations() {
        assertEquals(0, violations.size(), () -> String.join("\n", violations));
    }

    // -----------------------------------------------------------------------
    /** The start is sent while the acknowledgement is in progress, or after its time limit. */
    @Test
    public void aStartAfterAnAcknowledgementWithoutAnAnswer() {
        for (long delayMillis : List.of(0L, 5L, 100L, 450L, 900L, 3000L)) {
            play(
                    "start after " + delayMillis,
                    scene -> {
                        scene.holdAcknowledgement();
                        scene.advance(delayMillis);
                        scene.holdStart();
                    });
        }
        assertNoViolations();
    }

    /** Another agent process makes the start call, which has a lease generation of its own. */
    @Test
    public void aStartOfAnotherAgentProcessAfterAnAcknowledgementWithoutAnAnswer() {
        play(
                "agent replaced",
                scene -> {
                    scene.holdAcknowledgement();
                    scene.replaceAgent();
                    scene.holdStart();
                });
        assertNoViolations();
    }

    /** Another leader orders the start, whose epoch is higher. */
    @Test
    public void aStartUnderAnotherLeaderAfterAnAcknowledgementWithoutAnAnswer() {
        play(
                "leader replaced",
                scene -> {
                    scene.holdAcknowledgement();
                    scene.replaceLeader();
                    scene.holdStart();
                });
        assertNoViolations();
    }

    /** Ends are recorded while the start is in progress, without an answer, or repeated. */
    @Test
    public void anAcknowledgementAfterAStartWithoutAnAnswer() {
        for (long workMillis : List.of(50L, 200L, 400L, 700L, 850L)) {
            play(
                    "tasks of " + workMillis,
                    scene -> {
                        scene.submit(workMillis);
                        scene.advance(10);
                        scene.holdStart();
                        scene.getClient().holdNextAcknowledgement();
                        scene.advance(workMillis);
                        scene.advance(ACKNOWLEDGEMENT_MILLIS);
                    });
        }
        assertNoViolations();
    }

    /** Another agent process acknowledges ends, which has not made the start call. */
    @Test
    public void anAcknowledgementOfAnotherAgentProcessAfterAStartWithoutAnAnswer() {
        play(
                "agent replaced",
                scene -> {
                    scene.submit(900);
                    scene.advance(600);
                    scene.holdStart();
                    scene.replaceAgent();
                    scene.getClient().holdNextAcknowledgement();
                    scene.advance(ACKNOWLEDGEMENT_MILLIS);
                });
        assertNoViolations();
    }

    /** The next incarnation acknowledges ends of its own, and the third one executes both calls. */
    @Test
    public void anAcknowledgementOfTheNextIncarnationAfterAStartWithoutAnAnswer() {
        play(
                "third incarnation",
                scene -> {
                    scene.holdStart();
                    scene.getMachine().crashWorker();
                    scene.getMachine().startWorker();
                    scene.getClient().holdNextAcknowledgement();
                    scene.advance(TAKEOVER_MILLIS);
                });
        assertNoViolations();
    }
}
