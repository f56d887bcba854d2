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

    private static final int THREADS = 4;

    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "where to listen")
    private String listen;

    @Option(name = "--cores", metaVar = "N", usage = "processors (default: 16)")
    private double cores = 16;

    /** The memory, in megabytes. */
    @Option(name = "--memory", metaVar = "MEGABYTES", usage = "memory (default: 60000)")
    private long memory = 60_000;

    @Option(name = "--accelerators", metaVar = "N", usage = "accelerators (default: 0)")
    private long accelerators;

    @Option(name = "--lease", metaVar = "MILLIS", usage = "length of a lease (default: 5000)")
    private long leaseMillis = 5000;

    /** The ratio of the actual to the declared run time of tasks. */
    @Option(name = "--run-factor", metaVar = "X", usage = "actual / declared run time (default: 1)")
    private double runFactor = 1;

    /** The ratio of the used to the granted resources of tasks. */
    @Option(
            name = "--usage-factor",
            metaVar = "X",
            usage = "used / granted resources (default: 0.6)")
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
