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
package org.standlink.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.port.LogPort;
import org.standlink.port.PlatformRefusal;
import org.standlink.port.VmEntry;
import org.standlink.port.WorkerLease;
import org.standlink.port.WorkerPort;
import org.standlink.port.WorkerRequest;
import org.standlink.process.HttpService;

/**
 * Serves the in-memory stand-ins over the protocol of the HTTP adapters.
 *
 * <p>{@code StandInHttpServices} is thread-safe and immutable.
 */
public final class StandInHttpServices {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The default maximum number of records in one answer. */
    private static final String DEFAULT_MAX_RECORDS = "500";

    private StandInHttpServices() {}

    /** Handles one request. */
    @FunctionalInterface
    private interface RequestHandling {

        /**
         * Handles the request.
         *
         * @return the value to answer with
         * @throws IOException if the body is malformed
         */
        Object run() throws IOException;
    }

    /**
     * Serves a platform.
     *
     * @param address the address to listen on
     * @param executor runs the server and the request handlers
     * @param log the log
     * @param vms the VM list
     * @return the running service
     */
    public static HttpService servePlatform(
            InetSocketAddress address, Executor executor, MemoryLog log, MemoryVmList vms) {
        HttpService service = new HttpService(address, executor);
        serveLog(service, log);
        service.addHandler("GET", "/vms", request -> answer(vms::list));
        service.addHandler(
                "POST",
                "/control/vms",
                request ->
                        answer(
                                () -> {
                                    vms.put(MAPPER.readValue(request.body(), VmEntry.class));
                                    return true;
                                }));
        service.addHandler(
                "POST",
                "/control/log",
                request ->
                        answer(
                                () -> {
                                    applyControl(request, log);
                                    return log.getEnd();
                                }));
        return service;
    }

    /**
     * Adds the paths of a log to a service.
     *
     * @param service the service
     * @param log the log
     */
    public static void serveLog(HttpService service, LogPort log) {
        service.addHandler("POST", "/log", request -> answer(() -> log.append(request.body())));
        service.addHandler(
                "GET",
                "/log",
                request ->
                        answer(
                                () ->
                                        log.read(
                                                parseNumber(request, "from", "0"),
                                                (int)
                                                        parseNumber(
                                                                request,
                                                                "most",
                                                                DEFAULT_MAX_RECORDS))));
    }

    /**
     * Adds the paths of a worker to a service.
     *
     * @param service the service
     * @param worker the worker
     */
    public static void serveWorker(HttpService service, WorkerPort worker) {
        service.addHandler(
                "POST",
                "/lease/acquire",
                request ->
                        answer(
                                () ->
                                        worker.acquire(
                                                MAPPER.readValue(request.body(), String.class))));
        service.addHandler(
                "POST",
                "/lease/renew",
                request ->
                        answer(
                                () ->
                                        worker.renew(
                                                MAPPER.readValue(
                                                        request.body(), WorkerLease.class))));
        service.addHandler("POST", "/tasks/start", request -> answer(() -> start(worker, request)));
        service.addHandler("POST", "/tasks/stop", request -> answer(() -> stop(worker, request)));
        service.addHandler(
                "POST", "/tasks/throttle", request -> answer(() -> throttle(worker, request)));
        service.addHandler("GET", "/tasks", request -> answer(worker::list));
    }

    // -----------------------------------------------------------------------
    private static boolean start(WorkerPort worker, HttpService.Request request)
            throws IOException {
        WorkerRequest call = MAPPER.readValue(request.body(), WorkerRequest.class);
        worker.start(call.lease(), call.start());
        return true;
    }

    private static Object stop(WorkerPort worker, HttpService.Request request) throws IOException {
        WorkerRequest call = MAPPER.readValue(request.body(), WorkerRequest.class);
        return worker.stop(call.lease(), call.task(), call.attempt());
    }

    private static boolean throttle(WorkerPort worker, HttpService.Request request)
            throws IOException {
        WorkerRequest call = MAPPER.readValue(request.body(), WorkerRequest.class);
        worker.throttle(call.lease(), call.task(), call.percent());
        return true;
    }

    private static void applyControl(HttpService.Request request, MemoryLog log) {
        log.setDown(Boolean.parseBoolean(request.getParameter("down", "false")));
        log.loseAnswers((int) parseNumber(request, "loseAnswers", "0"));
        log.dropBefore(parseNumber(request, "dropBefore", "0"));
    }

    private static long parseNumber(HttpService.Request request, String name, String defaultValue) {
        return Long.parseLong(request.getParameter(name, defaultValue));
    }

    private static HttpService.Answer answer(RequestHandling handling) throws IOException {
        try {
            return HttpService.Answer.ofJson(200, handling.run());
        } catch (StandlinkException failure) {
            if (failure.getCode() == ErrorCode.PLATFORM_UNAVAILABLE) {
                return HttpService.Answer.ofText(503, failure.getMessage());
            }
            if (failure.getCode() == ErrorCode.PLATFORM_OUTCOME_UNKNOWN) {
                return HttpService.Answer.ofText(504, failure.getMessage());
            }
            return HttpService.Answer.ofJson(
                    409, new PlatformRefusal(failure.getCode(), failure.getMessage()));
        }
    }
}
