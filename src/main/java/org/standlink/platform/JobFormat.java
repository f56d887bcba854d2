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
package org.standlink.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.standlink.ErrorCode;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.job.JobDefinition;
import org.standlink.job.StepDefinition;

/**
 * Decodes the body of a submitted job.
 *
 * <p>{@code JobFormat} is thread-safe and immutable.
 */
final class JobFormat {

    private JobFormat() {}

    /**
     * Decodes a job.
     *
     * @param id the identifier chosen by the caller
     * @param queue the name of the queue
     * @param body the body
     * @return the job
     * @throws StandlinkException with code INVALID_MESSAGE if the body is not a valid job
     */
    static JobDefinition decode(JobId id, String queue, byte[] body) {
        JsonNode job = Json.read(body);
        List<StepDefinition> steps = new ArrayList<>();
        for (JsonNode step : job.path("steps")) {
            steps.add(decodeStep(step, steps.size()));
        }
        if (steps.isEmpty()) {
            throw invalid("the job has no steps", "define at least one step");
        }
        return new JobDefinition(
                id,
                queue,
                job.path("spec").asText(),
                steps,
                job.path("start_at_ms").asLong(),
                job.path("interval_ms").asLong(),
                job.path("repeat_count").asInt());
    }

    private static StepDefinition decodeStep(JsonNode step, int number) {
        List<Integer> after = new ArrayList<>();
        for (JsonNode dependency : step.path("after")) {
            if (dependency.asInt() < 0 || dependency.asInt() >= number) {
                throw invalid(
                        "step " + number + " depends on " + dependency,
                        "list only earlier steps in 'after'");
            }
            after.add(dependency.asInt());
        }
        return new StepDefinition(
                Math.max(1, step.path("count").asInt(1)),
                decodeResources(step),
                step.path("estimated_ms").asLong(),
                after,
                step.path("checkpointing").asBoolean(),
                step.path("gang_scheduled").asBoolean(),
                step.path("rack_local").asBoolean(),
                step.path("constraints").asText(""),
                step.path("colocate").asText(""),
                step.path("anti_affinity").asInt(),
                step.path("speculative").asBoolean(),
                step.path("perpetual").asBoolean(),
                step.path("image").asText(""),
                step.path("target_ms").asDouble(),
                step.path("fills").asBoolean(),
                step.path("may_miss").asInt());
    }

    private static StandlinkException invalid(String problem, String remedy) {
        return new StandlinkException(ErrorCode.INVALID_MESSAGE, problem, remedy);
    }

    /** Decodes the resources of a step; a missing amount is 0. */
    private static Resources decodeResources(JsonNode step) {
        return new Resources(
                step.path("cpu").asLong(), step.path("mem_mb").asLong(), step.path("gpu").asLong());
    }
}
