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

import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import org.kohsuke.args4j.Option;
import org.standlink.json.Addresses;
import org.standlink.lease.MonotonicClock;
import org.standlink.platform.StandInCaller;
import org.standlink.platform.StandInStore;
import org.standlink.platform.StandInWorker;
import org.standlink.process.ProcessThreads;

/**
 * {@code standlink stand-in deployment}: runs a stand-in of the users' store and of a worker, which
 * sends heartbeats to an agent, and queries the readiness of an entry.
 *
 * <p>Prints a line whenever one of the two begins or ceases to answer, for {@code
 * bench/startup.sh}.
 */
final class StandInDeploymentCommand implements Command {

    /** Any free port of the loopback address. */
    private static final InetSocketAddress ANY_FREE_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** The interval between heartbeats and between queries, in milliseconds. */
    private static final long INTERVAL_MILLIS = 100;

    /** The duration of a run, in milliseconds. */
    private static final long RUN_MILLIS = 400;

    @Option(name = "--store", required = true, metaVar = "HOST:PORT", usage = "the store")
    private String store;

    @Option(name = "--heartbeats", required = true, metaVar = "HOST:PORT", usage = "the agent")
    private String heartbeats;

    @Option(name = "--ready", required = true, metaVar = "HOST:PORT", usage = "the entry")
    private String ready;

    /** Whether the agent answered the last heartbeat. */
    private boolean agentAnswers;

    /** Whether the entry was ready at the last query. */
    private boolean entryAnswers;

    @Override
    public int run() throws InterruptedException {
        ExecutorService threads = ProcessThreads.newCached("stand-in");
        StandInStore standInStore = new StandInStore(Addresses.parse(store), threads);
        StandInCaller.publishConfiguration(standInStore);
        StandInWorker worker =
                new StandInWorker(
                        ANY_FREE_PORT, threads, MonotonicClock.ofSystem()::nowMillis, RUN_MILLIS);
        StandInCaller caller = new StandInCaller(ready);
        for (long sequence = 1; !Thread.currentThread().isInterrupted(); sequence++) {
            boolean agent = isSuccess(caller.sendHeartbeat(heartbeats, worker, sequence));
            if (agent != agentAnswers) {
                System.out.println(agent ? "agent answers" : "agent gone");
            }
            agentAnswers = agent;
            boolean entry = isSuccess(caller.queryReadiness(ready));
            if (entry != entryAnswers) {
                System.out.println(entry ? "entry answers" : "entry gone");
            }
            entryAnswers = entry;
            Thread.sleep(INTERVAL_MILLIS);
        }
        return 0;
    }

    private static boolean isSuccess(int status) {
        return status == HttpURLConnection.HTTP_OK;
    }
}
