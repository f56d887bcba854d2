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
import org.standlink.json.Addresses;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryVmList;
import org.standlink.standin.StandInHttpServices;

/** {@code standlink stand-in platform}: runs a stand-in of the platform's log and VM list. */
final class StandInPlatformCommand extends AbstractServerCommand {

    private static final int THREADS = 16;

    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "where to listen")
    private String listen;

    @Option(name = "--appends", metaVar = "N", usage = "maximum appends per second (default: 100)")
    private int appends = 100;

    @Option(
            name = "--retention",
            metaVar = "SECONDS",
            usage = "retention of records (default: 3600)")
    private long retentionSeconds = 3600;

    @Option(name = "--lag", metaVar = "MILLIS", usage = "lag of the VM list (default: 1000)")
    private long lagMillis = 1000;

    @Override
    public int run() throws InterruptedException {
        setUpLog("platform");
        MonotonicClock clock = MonotonicClock.ofSystem();
        HttpService service =
                StandInHttpServices.servePlatform(
                        Addresses.parse(listen),
                        ProcessThreads.newBounded("platform", THREADS),
                        new MemoryLog(clock, appends, retentionSeconds * 1000),
                        new MemoryVmList(clock, lagMillis));
        return serveUntilStopped(service::close);
    }
}
