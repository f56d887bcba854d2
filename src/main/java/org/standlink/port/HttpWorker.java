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
package org.standlink.port;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import org.standlink.Attempt;
import org.standlink.TaskId;

/**
 * HTTP adapter of the local worker.
 *
 * <p>{@code HttpWorker} is thread-safe and immutable.
 */
public final class HttpWorker implements WorkerPort {

    private final JsonHttpClient http;

    /**
     * Creates an adapter.
     *
     * @param http the HTTP client
     */
    public HttpWorker(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public WorkerLease acquire(String holder) {
        return http.post("/lease/acquire", holder, new TypeReference<WorkerLease>() {});
    }

    @Override
    public WorkerLease renew(WorkerLease lease) {
        return http.post("/lease/renew", lease, new TypeReference<WorkerLease>() {});
    }

    @Override
    public void start(WorkerLease lease, TaskStart start) {
        WorkerRequest call = new WorkerRequest(lease, start, null, null, 0);
        http.post("/tasks/start", call, new TypeReference<Boolean>() {});
    }

    @Override
    public AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt) {
        WorkerRequest call = new WorkerRequest(lease, null, task, attempt, 0);
        return http.post("/tasks/stop", call, new TypeReference<AttemptStatus>() {});
    }

    @Override
    public void throttle(WorkerLease lease, TaskId task, int percent) {
        WorkerRequest call = new WorkerRequest(lease, null, task, null, percent);
        http.post("/tasks/throttle", call, new TypeReference<Boolean>() {});
    }

    @Override
    public List<AttemptStatus> list() {
        return http.get("/tasks", new TypeReference<List<AttemptStatus>>() {});
    }
}
