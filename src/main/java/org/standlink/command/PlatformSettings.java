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

import java.net.InetSocketAddress;
import org.standlink.ErrorCode;
import org.standlink.cell.ContentionOptions;
import org.standlink.json.Addresses;
import org.standlink.json.JsonSection;
import org.standlink.json.ValidationErrors;
import org.standlink.store.StoreLimits;

/**
 * The settings of a process on the users' platform, as in the templates under {@code deploy/}.
 *
 * <p>{@code PlatformSettings} is thread-safe and immutable.
 *
 * @param node the machine's name
 * @param hall the machine's hall
 * @param listen where other processes of standlink reach this one; null for an entry
 * @param metrics where metrics are served
 * @param store the platform's store, host and port
 * @param storeLimits the largest records and appends that the store accepts
 * @param callers where callers connect; null for an agent
 * @param ready where the balancer queries the readiness; null for an agent
 * @param heartbeats where the worker sends heartbeats; null for an entry
 * @param leaseMillis how long workers keep their runs without a message from the leader, in
 *     milliseconds; 0 for an entry
 * @param statusMillis how long the state of a final job is retained, in milliseconds; 0 for an
 *     entry
 * @param graceMillis how long a planned stop may take, in milliseconds
 * @param contention the decisions for contended workers; all turned off for an entry
 */
record PlatformSettings(
        String node,
        String hall,
        InetSocketAddress listen,
        InetSocketAddress metrics,
        String store,
        StoreLimits storeLimits,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress heartbeats,
        long leaseMillis,
        long statusMillis,
        long graceMillis,
        ContentionOptions contention) {

    /** The largest limit of a store that is accepted, in bytes. */
    private static final long MAX_BYTES = 1 << 30;

    /**
     * Reads and checks the settings of an entry.
     *
     * @param text the JSON text
     * @return the settings
     * @throws org.standlink.StandlinkException with code INVALID_SETTINGS, listing every error
     */
    static PlatformSettings readEntry(String text) {
        ValidationErrors errors = new ValidationErrors();
        JsonSection top = JsonSection.parse(text, errors);
        PlatformSettings settings =
                new PlatformSettings(
                        top.requiredText("node"),
                        top.requiredText("hall"),
                        null,
                        top.requiredValue("metrics", Addresses::parse),
                        top.requiredText("store"),
                        StoreLimits.DEFAULT,
                        top.requiredValue("callers", Addresses::parse),
                        top.requiredValue("ready", Addresses::parse),
                        null,
                        0,
                        0,
                        top.requiredInteger("graceMillis", 100, 600_000),
                        ContentionOptions.NONE);
        top.reportUnknownKeys();
        errors.throwIfAny(ErrorCode.INVALID_SETTINGS, "the entry's settings");
        return settings;
    }

    /**
     * Reads and checks the settings of an agent.
     *
     * @param text the JSON text
     * @return the settings
     * @throws org.standlink.StandlinkException with code INVALID_SETTINGS, listing every error
     */
    static PlatformSettings readAgent(String text) {
        ValidationErrors errors = new ValidationErrors();
        JsonSection top = JsonSection.parse(text, errors);
        PlatformSettings settings =
                new PlatformSettings(
                        top.requiredText("node"),
                        top.requiredText("hall"),
                        top.requiredValue("listen", Addresses::parse),
                        top.requiredValue("metrics", Addresses::parse),
                        top.requiredText("store"),
                        readStoreLimits(top),
                        null,
                        null,
                        top.requiredValue("heartbeats", Addresses::parse),
                        top.requiredInteger("leaseMillis", 1000, 600_000),
                        1000 * top.requiredInteger("statusSeconds", 1, 86_400),
                        top.requiredInteger("graceMillis", 100, 600_000),
                        new ContentionOptions(
                                top.flag("valueDensityOrder", false),
                                top.flag("backlogAdmission", false)));
        top.reportUnknownKeys();
        errors.throwIfAny(ErrorCode.INVALID_SETTINGS, "the agent's settings");
        return settings;
    }

    private static StoreLimits readStoreLimits(JsonSection top) {
        StoreLimits fallback = StoreLimits.DEFAULT;
        return new StoreLimits(
                (int) top.integer("storeRecordBytes", fallback.recordBytes(), 65_536, MAX_BYTES),
                (int) top.integer("storeCallBytes", fallback.callBytes(), 65_536, MAX_BYTES));
    }
}
