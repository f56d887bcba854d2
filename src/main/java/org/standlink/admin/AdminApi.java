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
package org.standlink.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.CellSpecification;
import org.standlink.bundle.JobSpecification;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.entry.EntryProcess;
import org.standlink.log.BundlePublisher;
import org.standlink.process.HttpService;
import org.standlink.wire.Message;
import org.standlink.wire.Refusal;
import org.standlink.wire.StatusAnswer;
import org.standlink.wire.StatusQuery;

/**
 * The HTTP API for operators, who can read the state of the system and submit signed bundles.
 *
 * <p>The status of a cell comes from its leader. If the leader cannot be queried, the answer
 * contains an error for that cell and is otherwise complete.
 *
 * <p>{@code AdminApi} is thread-safe.
 */
public final class AdminApi {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The timeout of a query to a leader, in milliseconds. */
    private static final long LEADER_TIMEOUT_MILLIS = 2000;

    private final EntryProcess entry;

    private final MeterRegistry registry;

    /**
     * Creates the API of an entry.
     *
     * @param entry the entry
     * @param registry the registry of the histograms
     */
    public AdminApi(EntryProcess entry, MeterRegistry registry) {
        this.entry = entry;
        this.registry = registry;
    }

    /**
     * Adds the paths of the API to an HTTP service.
     *
     * @param service the service
     */
    public void addTo(HttpService service) {
        service.addHandler("GET", "/v1/status", request -> json(status()));
        service.addHandler("GET", "/v1/bundle", request -> bundle());
        service.addHandler("GET", "/v1/services", request -> json(services()));
        service.addHandler("GET", "/v1/jobs", request -> json(jobs()));
        service.addHandler("GET", "/v1/histograms", request -> json(histograms()));
        service.addHandler("POST", "/v1/bundle", request -> submit(request.body()));
    }

    // -----------------------------------------------------------------------
    private static HttpService.Answer json(JsonNode node) {
        return HttpService.Answer.ofJson(200, node);
    }

    private ObjectNode status() {
        ObjectNode top = MAPPER.createObjectNode();
        Bundle bundle = entry.getBundleHolder().getBundle();
        top.put("bundle", entry.getBundleHolder().getVersion().getValue());
        top.put("ready", entry.isReady());
        ArrayNode cells = top.putArray("cells");
        if (bundle != null) {
            bundle.cells().forEach(cell -> cells.add(cell(cell)));
        }
        return top;
    }

    private JsonNode cell(CellSpecification cell) {
        CellId id = cell.id();
        VmId leader = entry.getFollower().read(fold -> fold.getCellState(id).getLeader());
        ObjectNode error = MAPPER.createObjectNode();
        error.put("cell", id.toString());
        error.put("leader", String.valueOf(leader));
        if (leader == null) {
            return error.put("error", "no leader yet");
        }
        try {
            Message answer =
                    entry.getDirectory()
                            .getPeer(leader)
                            .call(new StatusQuery(id), LEADER_TIMEOUT_MILLIS)
                            .join();
            if (answer instanceof StatusAnswer status) {
                return MAPPER.readTree(status.json());
            }
            String reason =
                    answer instanceof Refusal refusal ? refusal.reason() : "unexpected answer";
            return error.put("error", reason);
        } catch (CompletionException | StandlinkException | JsonProcessingException unreachable) {
            return error.put("error", "the leader cannot be queried: " + unreachable.getMessage());
        }
    }

    private HttpService.Answer bundle() {
        String text = entry.getBundleHolder().getSignedText();
        if (text == null) {
            return HttpService.Answer.ofText(404, "no bundle is in force");
        }
        return new HttpService.Answer(
                200, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    private ArrayNode services() {
        ArrayNode all = MAPPER.createArrayNode();
        Bundle bundle = entry.getBundleHolder().getBundle();
        if (bundle != null) {
            bundle.services().forEach(service -> all.add(service(service)));
        }
        return all;
    }

    private ObjectNode service(ServiceSpecification service) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", service.id().toString());
        node.put("mode", lower(service.mode()));
        ArrayNode upstreams = node.putArray("upstreams");
        for (VmId vm : service.upstreams()) {
            ObjectNode upstream = upstreams.addObject();
            upstream.put("vm", vm.toString());
            upstream.put("state", entry.getDirectory().getState(vm));
            upstream.put("outstanding", entry.getDirectory().getOutstanding(vm));
        }
        return node;
    }

    private ArrayNode jobs() {
        ArrayNode all = MAPPER.createArrayNode();
        Bundle bundle = entry.getBundleHolder().getBundle();
        if (bundle != null) {
            bundle.jobs().forEach(job -> all.add(job(job)));
        }
        return all;
    }

    private static ObjectNode job(JobSpecification job) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("job", job.id().toString());
        node.put("mode", lower(job.mode()));
        node.put("urgency", lower(job.urgency()));
        node.put("team", job.team().toString());
        node.put("cell", job.cell().toString());
        node.put("tasks", job.tasks());
        return node;
    }

    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private ArrayNode histograms() {
        ArrayNode all = MAPPER.createArrayNode();
        for (Timer timer : registry.find("standlink.entry.requests").timers()) {
            ObjectNode node = all.addObject();
            timer.getId().getTags().forEach(tag -> node.put(tag.getKey(), tag.getValue()));
            node.put("count", timer.count());
            node.put("meanMillis", timer.mean(TimeUnit.MILLISECONDS));
            ArrayNode buckets = node.putArray("buckets");
            for (var bucket : timer.takeSnapshot().histogramCounts()) {
                ObjectNode bucketNode = buckets.addObject();
                bucketNode.put("atMostMillis", bucket.bucket(TimeUnit.MILLISECONDS));
                bucketNode.put("count", bucket.count());
            }
        }
        return all;
    }

    private HttpService.Answer submit(byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        BundleVersion version = new BundlePublisher(entry.getLog()).publish(text);
        return HttpService.Answer.ofJson(200, Map.of("accepted", version.getValue()));
    }
}
