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
package org.standlink.command;

import org.kohsuke.args4j.Option;
import org.standlink.Resources;
import org.standlink.json.Addresses;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.MemoryWorker;
import org.standlink.standin.StandInHttpServices;

/** {@code standlink stand-in worker}: runs a stand-in of a worker. */
final class StandInWorkerCommand extends AbstractServerCommand {

    /** The threads of the server. */
    private static final int THREADS = 4;

    /** Where to listen. */
    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "where to listen")
    private String listen;

    /** The processors. */
    @Option(name = "--cores", metaVar = "N", usage = "processors (default: 16)")
    private double cores = 16;

    /** The memory. */
    @Option(name = "--memory", metaVar = "MEGABYTES", usage = "memory (default: 60000)")
    private long memory = 60_000;

    /** The accelerators. */
    @Option(name = "--accelerators", metaVar = "N", usage = "accelerators (default: 0)")
    private long accelerators;

    /** The length of a lease. */
    @Option(name = "--lease", metaVar = "MILLIS", usage = "length of a lease (default: 5000)")
    private long leaseMillis = 5000;

    /** How long tasks really run. */
    @Option(
            name = "--run-factor",
            metaVar = "X",
            usage = "real over declared run time (default: 1)")
    private double runFactor = 1;

    /** What tasks really use. */
    @Option(name = "--usage-factor", metaVar = "X", usage = "used over granted (default: 0.6)")
    private double usageFactor = 0.6;

    @Override
    public int run() throws InterruptedException {
        setUpLog("worker");
        HttpService service =
                new HttpService(
                        Addresses.parse(listen), ProcessThreads.newBounded("worker", THREADS));
        StandInHttpServices.serveWorker(
                service,
                new MemoryWorker(
                        MonotonicClock.ofSystem(),
                        Resources.ofCores(cores, memory, accelerators),
                        leaseMillis,
                        runFactor,
                        usageFactor));
        return serveUntilStopped(service::close);
    }
}
