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

/** Reads the settings again on SIGHUP and tells what has changed. */
final class SettingsReload {

    /** The log. */
    private static final EventLog LOG = EventLog.of(SettingsReload.class);

    /** No instances. */
    private SettingsReload() {}

    /**
     * Begins to listen for the signal.
     *
     * @param file the settings file
     * @param inForce the settings in force
     * @param reader reads settings
     */
    static void install(
            Path file, PlatformSettings inForce, Function<String, PlatformSettings> reader) {
        ReloadSignal.handle(() -> compare(file, inForce, reader));
    }

    private static void compare(
            Path file, PlatformSettings inForce, Function<String, PlatformSettings> reader) {
        try {
            PlatformSettings read = reader.apply(TextFiles.read(file));
            boolean same = read.equals(inForce);
            LOG.info("settings-reloaded")
                    .with("changed", !same)
                    .with("settings", read)
                    .with("remedy", same ? "none" : "addresses and leases change at a restart")
                    .write();
        } catch (StandlinkException faulty) {
            // The settings in force stay.
            LOG.warning("settings-not-reloaded").with("cause", faulty.getMessage()).write();
        }
    }
}
