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

import java.nio.file.Path;
import java.util.function.Function;
import org.standlink.StandlinkException;
import org.standlink.process.EventLog;
import org.standlink.process.ReloadSignal;

/** Rereads the settings on SIGHUP and logs whether they have changed. */
final class SettingsReload {

    private static final EventLog LOG = EventLog.of(SettingsReload.class);

    private SettingsReload() {}

    /**
     * Installs the handler of the signal.
     *
     * @param file the settings file
     * @param inForce the settings in force
     * @param reader reads and checks settings
     */
    static void install(
            Path file, PlatformSettings inForce, Function<String, PlatformSettings> reader) {
        ReloadSignal.handle(() -> reload(file, inForce, reader));
    }

    private static void reload(
            Path file, PlatformSettings inForce, Function<String, PlatformSettings> reader) {
        try {
            PlatformSettings reloaded = reader.apply(TextFiles.read(file));
            boolean unchanged = reloaded.equals(inForce);
            LOG.info("settings-reloaded")
                    .with("changed", !unchanged)
                    .with("settings", reloaded)
                    .with("remedy", unchanged ? "none" : "restart to change addresses and leases")
                    .write();
        } catch (StandlinkException invalid) {
            // The settings in force are kept.
            LOG.warning("settings-not-reloaded").with("cause", invalid.getMessage()).write();
        }
    }
}
