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

import org.standlink.Fence;
import org.standlink.process.EventLog;

/**
 * Determines whether a worker needs calls under a higher fence than the one in force.
 *
 * <p>{@code FenceRequirement} is not thread-safe; it is confined to the agent's event loop.
 */
final class FenceRequirement {

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    private final WorkerContext context;

    private final InDoubtStarts inDoubtStarts;

    private final EndAcknowledgements acknowledgements;

    /** The fence that the worker refused, since it has seen a higher one; null if none. */
    private Fence refusedFence;

    FenceRequirement(
            WorkerContext context,
            InDoubtStarts inDoubtStarts,
            EndAcknowledgements acknowledgements) {
        this.context = context;
        this.inDoubtStarts = inDoubtStarts;
        this.acknowledgements = acknowledgements;
    }

    /**
     * Records that the worker refused a fence.
     *
     * @param fence the fence
     */
    void recordRefusal(Fence fence) {
        if (!fence.equals(refusedFence)) {
            refusedFence = fence;
            LOG.info("fence-refused")
                    .with("worker", context.worker().get().incarnation())
                    .with("fence", fence)
                    .write();
        }
    }

    /**
     * Checks whether the worker has refused the fence in force.
     *
     * @return true if so
     */
    boolean isRefused() {
        return context.fence().get().equals(refusedFence);
    }

    /**
     * Checks whether a higher fence than the one in force is required: the worker has seen a higher
     * one, in a call of another agent or of an earlier process of this one, a start call under it
     * was repeated before its outcome was known, or an acknowledgement under it was not answered.
     *
     * @return true if the leader has to raise the generation
     */
    boolean isHigherFenceRequired() {
        return isRefused()
                || context.fence().get().equals(inDoubtStarts.getRepeatedFence())
                || acknowledgements.isHigherFenceRequired();
    }
}
