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

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import org.kohsuke.args4j.Option;
import org.standlink.admin.AdminApi;
import org.standlink.admin.HealthApi;
import org.standlink.entry.EntryProcess;
import org.standlink.entry.EntrySettings;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;

/** {@code standlink entry}: runs an entry. */
final class EntryCommand extends AbstractServerCommand {

    /** The number of timer threads, one for each kind of work. */
    private static final int TIMER_THREADS = 3;

    private static final int ADMIN_THREADS = 4;

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings, JSON")
    private Path settingsFile;

    @Override
    public int run() throws InterruptedException {
        EntrySettings settings = EntrySettings.read(TextFiles.read(settingsFile));
        setUpLog("entry " + settings.name());
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ExecutorService executor = ProcessThreads.newCached("entry");
        EntryProcess entry =
                new EntryProcess(
                        settings,
                        executor,
                        ProcessThreads.newBounded("caller", settings.maxThreads()),
                        ProcessThreads.newScheduled("timer", TIMER_THREADS),
                        registry);
        HttpService admin =
                new HttpService(
                        settings.adminListen(), ProcessThreads.newBounded("admin", ADMIN_THREADS));
        HealthApi.addTo(admin, registry::scrape, entry::isReady);
        new AdminApi(entry, registry).addTo(admin);
        return serveUntilStopped(
                () -> {
                    entry.drain();
                    admin.close();
                });
    }
}
