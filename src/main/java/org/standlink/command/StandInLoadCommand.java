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

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.json.Addresses;
import org.standlink.standin.LoadReport;
import org.standlink.standin.RequestLoad;

/** {@code standlink stand-in load}: sends numbered requests and checks each answer. */
final class StandInLoadCommand implements Command {

    /** The exit code if an answer was wrong or missing. */
    private static final int FAILED_EXIT_CODE = 4;

    @Option(name = "--entry", required = true, metaVar = "URL", usage = "an entry; may be repeated")
    private List<String> entries;

    /** The readiness URLs of the entries, in the order of the entries. */
    @Option(
            name = "--ready",
            metaVar = "URL",
            usage = "readiness URL of each entry, in order (default: not queried)")
    private List<String> readinessUrls = new ArrayList<>();

    @Option(name = "--requests", metaVar = "N", usage = "number of requests (default: 200)")
    private int requests = 200;

    @Option(name = "--concurrency", metaVar = "N", usage = "concurrent requests (default: 8)")
    private int concurrency = 8;

    @Option(name = "--path", metaVar = "PATH", usage = "path of the requests (default: /)")
    private String path = "/";

    @Option(name = "--method", metaVar = "NAME", usage = "HTTP method (default: POST)")
    private String method = "POST";

    @Option(name = "--keys", usage = "give each request an Idempotency-Key")
    private boolean keys;

    @Option(name = "--pause", metaVar = "MILLIS", usage = "pause after each request (default: 0)")
    private long pauseMillis;

    @Option(
            name = "--retries",
            metaVar = "N",
            usage = "retries of requests that did not run (default: 0)")
    private int retries;

    @Override
    public int run() throws InterruptedException {
        if (!readinessUrls.isEmpty() && readinessUrls.size() != entries.size()) {
            throw new StandlinkException(
                    ErrorCode.USAGE,
                    "--ready is given " + readinessUrls.size() + " times",
                    "pass it once for each --entry, in the same order");
        }
        RequestLoad load =
                new RequestLoad(
                        entries.stream().map(Addresses::parseHttp).toList(),
                        readinessUrls.stream().map(URI::create).toList(),
                        method,
                        path,
                        keys,
                        pauseMillis,
                        retries);
        LoadReport report = load.run(requests, concurrency);
        System.out.println(report);
        return report.isEveryAnswerCorrect() ? 0 : FAILED_EXIT_CODE;
    }
}
