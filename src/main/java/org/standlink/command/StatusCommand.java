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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.json.Addresses;

/** {@code standlink status}: shows cells, workers and tasks, and can wait for them. */
final class StatusCommand implements Command {

    /** The time between two looks while waiting, in milliseconds. */
    private static final long LOOK_MILLIS = 200;

    /** The entry. */
    @Option(name = "--entry", required = true, metaVar = "URL", usage = "an entry's admin address")
    private String entry;

    /** Whether to wait for the bundle. */
    @Option(name = "--wait-bundle", metaVar = "V", usage = "wait until V is in force on every VM")
    private long waitBundle;

    /** Whether to wait for the tasks. */
    @Option(name = "--wait-tasks", usage = "wait until every managed task is finished")
    private boolean waitTasks;

    /** How long to wait. */
    @Option(name = "--timeout", metaVar = "SECONDS", usage = "how long to wait (default: 30)")
    private long timeoutSeconds = 30;

    /** Whether to print one line only. */
    @Option(name = "--summary", usage = "print one line only")
    private boolean summary;

    /** Whether to print JSON. */
    @Option(name = "--json", usage = "print the answer of the admin API")
    private boolean json;

    @Override
    public int run() throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        JsonNode status = null;
        StatusView view = null;
        while (view == null || !isReached(view) && System.nanoTime() < until) {
            if (view != null) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            }
            status = fetch(client);
            view = StatusView.of(status);
        }
        if (json) {
            System.out.println(status.toPrettyString());
        } else if (!summary) {
            view.print(System.out);
        }
        System.out.println(view.getSummary());
        return isReached(view) ? 0 : ErrorCode.TIMEOUT.getExitCode();
    }

    private boolean isReached(StatusView view) {
        return (waitBundle == 0 || view.isBundleInForceOnAllVms(waitBundle))
                && (!waitTasks || view.isEveryTaskFinished());
    }

    private JsonNode fetch(HttpClient client) throws InterruptedException {
        URI uri = Addresses.parseHttp(entry).resolve("/v1/status");
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(10)).GET().build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            return new ObjectMapper().readTree(response.body());
        } catch (IOException unreachable) {
            throw new StandlinkException(
                    ErrorCode.PEER_UNREACHABLE,
                    "the entry at " + entry + " cannot be reached",
                    "check that it runs, or ask another entry",
                    unreachable);
        }
    }
}
