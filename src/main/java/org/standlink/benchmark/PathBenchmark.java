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
 * Compares requests through an entry and an agent with direct calls to the upstream, in one process
 * and one run.
 *
 * <p>{@code PathBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class PathBenchmark {

    /** The number of requests in the warm-up and in each measurement. */
    private static final int REQUESTS = 3000;

    private static final int CONCURRENCY = 4;

    /** The address on which all servers listen. */
    private static final String HOST = "127.0.0.1";

    /** The servers and processes to close, the most recently started first. */
    private final List<AutoCloseable> resources = new ArrayList<>();

    /**
     * Runs the benchmark.
     *
     * @return the results, one per line
     * @throws Exception if a server or process cannot be started or closed
     */
    public List<String> run() throws Exception {
        ExecutorService executor = ProcessThreads.newCached("bench");
        MeterRegistry registry = new SimpleMeterRegistry();
        MonotonicClock clock = MonotonicClock.ofSystem();
        MemoryLog log = new MemoryLog(clock, 100, 3_600_000);
        MemoryVmList vms = new MemoryVmList(clock, 0);
        HttpService platform =
                closeAtEnd(
                        StandInHttpServices.servePlatform(
                                new InetSocketAddress(HOST, 0), executor, log, vms));
        UpstreamServer upstream =
                closeAtEnd(new UpstreamServer(new InetSocketAddress(HOST, 0), executor, 1));
        String platformUrl = toUrl(platform.getPort());
        AgentProcess agent =
                closeAtEnd(
                        new AgentProcess(
                                AgentSettings.read(
                                        createAgentSettings(
                                                platformUrl, toUrl(upstream.getPort()))),
                                executor,
                                ProcessThreads.newScheduled("agent", 5),
                                registry));
        String bundle = BenchmarkBundles.createSingleService(HOST + ":" + agent.getPort());
        log.append(RecordCodec.encode(new BundleRecord("b", bundle)));
        EntryProcess entry =
                closeAtEnd(
                        new EntryProcess(
                                EntrySettings.read(createEntrySettings(platformUrl)),
                                executor,
                                ProcessThreads.newBounded("caller", 64),
                                ProcessThreads.newScheduled("entry", 3),
                                registry));
        awaitUpstreamOpen(entry);
        List<String> lines = measure(upstream.getPort(), entry.getPort());
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        return lines;
    }

    // -----------------------------------------------------------------------
    private static List<String> measure(int upstream, int entry) throws InterruptedException {
        runLoad(upstream);
        runLoad(entry);
        long start = getProcessCpuNanos();
        LoadReport direct = runLoad(upstream);
        long middle = getProcessCpuNanos();
        LoadReport throughEntry = runLoad(entry);
        long end = getProcessCpuNanos();
        double addedMicros = (end - middle - (middle - start)) / 1000.0 / REQUESTS;
        return List.of(
                "direct:  " + direct,
                "by path: " + throughEntry,
                String.format(
                        "ratio p50 %.2f, p99 %.2f; added %d us at p50, %d us at p99",
                        (double) throughEntry.medianMicros() / direct.medianMicros(),
                        (double) throughEntry.p99Micros() / direct.p99Micros(),
                        throughEntry.medianMicros() - direct.medianMicros(),
                        throughEntry.p99Micros() - direct.p99Micros()),
                String.format(
                        "entry and agent together: %.0f us of processor a request, %.0f requests/s per core",
                        addedMicros, 1_000_000 / addedMicros));
    }

    private static LoadReport runLoad(int port) throws InterruptedException {
        return new RequestLoad(
                        List.of(URI.create(toUrl(port))), List.of(), "POST", "/x", false, 0, 0)
                .run(REQUESTS, CONCURRENCY);
    }

    private static long getProcessCpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static void awaitUpstreamOpen(EntryProcess entry) throws InterruptedException {
        VmId vm = VmId.parse("vm-1");
        while (entry.getBundleHolder().getBundle() == null
                || !entry.getDirectory().getState(vm).equals("open")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        TimeUnit.SECONDS.sleep(1);
    }

    private <T extends AutoCloseable> T closeAtEnd(T resource) {
        resources.add(0, resource);
        return resource;
    }

    private static String toUrl(int port) {
        return "http://" + HOST + ":" + port;
    }

    private static String createAgentSettings(String platform, String upstream) {
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

    private static String createEntrySettings(String platform) {
        return "{\"name\":\"bench\",\"hall\":\"h\",\"listen\":\"127.0.0.1:0\","
                + "\"adminListen\":\"127.0.0.1:0\",\"platform\":\""
                + platform
                + "\"}";
    }
}
