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
package org.standlink.benchmark;

import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.VmId;
import org.standlink.agent.AgentProcess;
import org.standlink.agent.AgentSettings;
import org.standlink.entry.EntryProcess;
import org.standlink.entry.EntrySettings;
import org.standlink.lease.MonotonicClock;
import org.standlink.log.BundleRecord;
import org.standlink.log.RecordCodec;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.LoadReport;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryVmList;
import org.standlink.standin.RequestLoad;
import org.standlink.standin.StandInHttpServices;
import org.standlink.standin.UpstreamServer;

/**
 * Measures the path entry, agent, upstream against direct calls to the upstream, in one process and
 * one run.
 *
 * <p>{@code PathBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class PathBenchmark {

    /** Requests before measuring, and measured. */
    private static final int REQUESTS = 3000;

    /** Requests at once. */
    private static final int CONCURRENCY = 4;

    /** Where everything listens. */
    private static final String HOST = "127.0.0.1";

    /** What must be closed. */
    private final List<AutoCloseable> open = new ArrayList<>();

    /**
     * Measures.
     *
     * @return the results, one in a line
     * @throws Exception if something cannot be started
     */
    public List<String> run() throws Exception {
        ExecutorService executor = ProcessThreads.newCached("bench");
        MeterRegistry registry = new SimpleMeterRegistry();
        MonotonicClock clock = MonotonicClock.ofSystem();
        MemoryLog log = new MemoryLog(clock, 100, 3_600_000);
        MemoryVmList vms = new MemoryVmList(clock, 0);
        HttpService platform =
                keep(
                        StandInHttpServices.servePlatform(
                                new InetSocketAddress(HOST, 0), executor, log, vms));
        UpstreamServer upstream =
                keep(new UpstreamServer(new InetSocketAddress(HOST, 0), executor, 1));
        String platformUrl = url(platform.getPort());
        AgentProcess agent =
                keep(
                        new AgentProcess(
                                AgentSettings.read(
                                        agentSettings(platformUrl, url(upstream.getPort()))),
                                executor,
                                ProcessThreads.newScheduled("agent", 5),
                                registry));
        String bundle = BenchmarkBundles.createSingleService(HOST + ":" + agent.getPort());
        log.append(RecordCodec.encode(new BundleRecord("b", bundle)));
        EntryProcess entry =
                keep(
                        new EntryProcess(
                                EntrySettings.read(entrySettings(platformUrl)),
                                executor,
                                ProcessThreads.newBounded("caller", 64),
                                ProcessThreads.newScheduled("entry", 3),
                                registry));
        awaitOpen(entry);
        List<String> lines = measure(upstream.getPort(), entry.getPort());
        for (AutoCloseable one : open) {
            one.close();
        }
        return lines;
    }

    // -----------------------------------------------------------------------
    private static List<String> measure(int upstream, int entry) throws InterruptedException {
        load(upstream);
        load(entry);
        long start = processNanos();
        LoadReport direct = load(upstream);
        long between = processNanos();
        LoadReport path = load(entry);
        long end = processNanos();
        double added = (end - between - (between - start)) / 1000.0 / REQUESTS;
        return List.of(
                "direct:  " + direct,
                "by path: " + path,
                String.format(
                        "ratio p50 %.2f, p99 %.2f; added %d us at p50, %d us at p99",
                        (double) path.medianMicros() / direct.medianMicros(),
                        (double) path.p99Micros() / direct.p99Micros(),
                        path.medianMicros() - direct.medianMicros(),
                        path.p99Micros() - direct.p99Micros()),
                String.format(
                        "entry and agent together: %.0f us of processor a request, %.0f requests/s per core",
                        added, 1_000_000 / added));
    }

    private static LoadReport load(int port) throws InterruptedException {
        return new RequestLoad(List.of(URI.create(url(port))), List.of(), "POST", "/x", false, 0, 0)
                .run(REQUESTS, CONCURRENCY);
    }

    private static long processNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static void awaitOpen(EntryProcess entry) throws InterruptedException {
        VmId vm = VmId.parse("vm-1");
        while (entry.getBundleHolder().getBundle() == null
                || !entry.getDirectory().getState(vm).equals("open")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        TimeUnit.SECONDS.sleep(1);
    }

    private <T extends AutoCloseable> T keep(T one) {
        open.add(0, one);
        return one;
    }

    private static String url(int port) {
        return "http://" + HOST + ":" + port;
    }

    private static String agentSettings(String platform, String upstream) {
        return "{\"vm\":\"vm-1\",\"listen\":\"127.0.0.1:0\",\"adminListen\":\"127.0.0.1:0\","
                + "\"platform\":\""
                + platform
                + "\",\"worker\":\""
                + platform
                + "\","
                + "\"upstream\":\""
                + upstream
                + "\"}";
    }

    private static String entrySettings(String platform) {
        return "{\"name\":\"bench\",\"hall\":\"h\",\"listen\":\"127.0.0.1:0\","
                + "\"adminListen\":\"127.0.0.1:0\",\"platform\":\""
                + platform
                + "\"}";
    }
}
