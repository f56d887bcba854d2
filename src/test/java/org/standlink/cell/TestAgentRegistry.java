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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.wire.AgentReport;

/** Tests when the generation of an agent's lease rises, and which reports are accepted. */
public class TestAgentRegistry {

    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Incarnation OTHER = Incarnation.of(2);

    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    private final AgentRegistry agents = new AgentRegistry(Epoch.of(1), workers);

    private static AgentReport report(
            Incarnation agent, long sequence, LeaseGeneration generation, boolean refused) {
        return new AgentReport(
                "node",
                "a:1",
                agent,
                sequence,
                Epoch.of(1),
                generation,
                refused,
                List.of(),
                List.of(),
                List.of());
    }

    private boolean accept(Incarnation agent, long sequence) {
        return agents.accept(report(agent, sequence, LeaseGeneration.NONE, false), 0);
    }

    @Test
    public void outOfOrderReportIsIgnored() {
        assertTrue(accept(AGENT, 2));
        assertFalse(accept(AGENT, 1));
        assertFalse(accept(AGENT, 2));
        assertTrue(accept(AGENT, 3));
        assertTrue(accept(OTHER, 1), "the reports of each agent process are numbered separately");
    }

    @Test
    public void reportCountsOnceItNamesTheCurrentGeneration() {
        AgentReport first = report(AGENT, 1, LeaseGeneration.NONE, false);
        agents.accept(first, 0);
        assertFalse(agents.isCurrent(first));
        AgentReport second = report(AGENT, 2, agents.getGeneration(AGENT), false);
        agents.accept(second, 0);
        assertTrue(agents.isCurrent(second));
        agents.raiseGeneration(AGENT, "test");
        assertFalse(agents.isCurrent(second));
    }

    @Test
    public void reportOfAReplacedProcessIsIgnored() {
        accept(AGENT, 1);
        LeaseGeneration generation = agents.getGeneration(AGENT);
        accept(OTHER, 1);
        LeaseGeneration laterGeneration = agents.getGeneration(OTHER);
        assertTrue(
                agents.accept(report(AGENT, 2, generation, false), 0),
                "it may be the current process");
        AgentReport current = report(OTHER, 2, laterGeneration, false);
        agents.accept(current, 0);
        assertTrue(agents.isCurrent(current));
        assertFalse(agents.accept(report(AGENT, 3, generation, false), 0));
    }

    @Test
    public void delayedReportOfAnEarlierProcessDoesNotReplaceTheCurrentOne() {
        accept(AGENT, 1);
        LeaseGeneration generation = agents.getGeneration(AGENT);
        accept(OTHER, 1);
        AgentReport delayed = report(AGENT, 2, generation, false);
        agents.accept(delayed, 0);
        agents.isCurrent(delayed);
        AgentReport current = report(OTHER, 2, agents.getGeneration(OTHER), false);
        assertTrue(agents.accept(current, 0), "its process was started later");
        assertTrue(agents.isCurrent(current));
        assertFalse(agents.accept(report(AGENT, 3, generation, false), 0));
    }

    @Test
    public void noTwoLeasesShareAGeneration() {
        accept(AGENT, 1);
        accept(OTHER, 1);
        LeaseGeneration first = agents.getGeneration(AGENT);
        assertNotEquals(LeaseGeneration.NONE, first);
        assertNotEquals(first, agents.getGeneration(OTHER));
        agents.raiseGeneration(AGENT, "test");
        assertTrue(agents.getGeneration(AGENT).isAfter(agents.getGeneration(OTHER)));
        assertEquals(LeaseGeneration.NONE, agents.getGeneration(null));
    }

    @Test
    public void refusedGenerationIsRaisedOnce() {
        accept(AGENT, 1);
        LeaseGeneration first = agents.getGeneration(AGENT);
        agents.accept(report(AGENT, 2, first, true), 0);
        LeaseGeneration second = agents.getGeneration(AGENT);
        assertTrue(second.isAfter(first));
        agents.accept(report(AGENT, 3, first, true), 0);
        assertEquals(second, agents.getGeneration(AGENT), "the answer is lost or still in transit");
    }

    @Test
    public void newGenerationCausesAllOrdersToBeResent() {
        accept(AGENT, 1);
        WorkerEntry worker = workers.getOrAdd(CellFixtures.worker("i-1", 8).incarnation(), 6000);
        worker.setAgent(AGENT);
        worker.setSyncedGeneration(agents.getGeneration(AGENT));
        agents.raiseGeneration(OTHER, "test");
        assertEquals(agents.getGeneration(AGENT), worker.getSyncedGeneration());
        agents.raiseGeneration(AGENT, "test");
        assertEquals(LeaseGeneration.NONE, worker.getSyncedGeneration());
    }

    @Test
    public void unresponsiveAgentIsForgotten() {
        accept(AGENT, 5);
        LeaseGeneration first = agents.getGeneration(AGENT);
        agents.removeUnresponsive(60_001);
        assertEquals(LeaseGeneration.NONE, agents.getGeneration(AGENT));
        accept(AGENT, 6);
        assertTrue(agents.getGeneration(AGENT).isAfter(first));
    }
}
