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

/**
 * {@code standlink status}: shows cells, workers and tasks; can wait for a version of the bundle to
 * be in force or for the tasks to be finished.
 */
final class StatusCommand implements Command {

    /** The interval between two queries while waiting, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 200;

    @Option(name = "--entry", required = true, metaVar = "URL", usage = "an entry's admin address")
    private String entry;

    /** The version of the bundle to wait for, 0 not to wait. */
    @Option(name = "--wait-bundle", metaVar = "V", usage = "wait until V is in force on every VM")
    private long waitBundle;

    @Option(name = "--wait-tasks", usage = "wait until every managed task is finished")
    private boolean waitTasks;

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "maximum time to wait (default: 30)")
    private long timeoutSeconds = 30;

    @Option(name = "--summary", usage = "print one line only")
    private boolean summary;

    @Option(name = "--json", usage = "print the JSON of the admin API")
    private boolean json;

    @Override
    public int run() throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        JsonNode status = null;
        StatusView view = null;
        while (view == null || !isConditionMet(view) && System.nanoTime() < deadlineNanos) {
            if (view != null) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
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
        return isConditionMet(view) ? 0 : ErrorCode.TIMEOUT.getExitCode();
    }

    private boolean isConditionMet(StatusView view) {
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
                    "the entry at " + entry + " is unreachable",
                    "check that it is running, or query another entry",
                    unreachable);
        }
    }
}
