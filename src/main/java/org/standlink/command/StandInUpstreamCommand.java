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
import org.standlink.process.ProcessThreads;
import org.standlink.standin.UpstreamServer;

/** {@code standlink stand-in upstream}: runs a stand-in of an upstream. */
final class StandInUpstreamCommand extends AbstractServerCommand {

    private static final int THREADS = 32;

    /** The maximum duration of a shutdown, in milliseconds: the grace period of the platform. */
    private static final long DRAIN_MILLIS = 6_000;

    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "where to listen")
    private String listen;

    @Option(name = "--service", metaVar = "MILLIS", usage = "service time (default: 5)")
    private long serviceMillis = 5;

    @Override
    public int run() throws InterruptedException {
        setUpLog("upstream");
        UpstreamServer server =
                new UpstreamServer(
                        Addresses.parse(listen),
                        ProcessThreads.newBounded("upstream", THREADS),
                        serviceMillis);
        return serveUntilStopped(() -> server.drain(DRAIN_MILLIS));
    }
}
