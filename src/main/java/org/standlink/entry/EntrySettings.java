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
package org.standlink.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.standlink.ErrorCode;
import org.standlink.HallId;
import org.standlink.json.Addresses;
import org.standlink.json.JsonSection;
import org.standlink.json.ValidationErrors;

/**
 * The settings of an entry.
 *
 * <p>{@code EntrySettings} is thread-safe and immutable.
 *
 * @param name the name of the entry in logs
 * @param hall the hall of the entry
 * @param listen the address to listen on for callers
 * @param adminListen the address to listen on for operators
 * @param platform the URI of the platform's log and VM list
 * @param seeds the addresses of agents to query for the bundle while the log is unavailable
 * @param retryShare the share of requests that may be retried, in percent
 * @param maxThreads the maximum number of requests in progress
 * @param drainMillis how long a planned stop may take, in milliseconds
 */
public record EntrySettings(
        String name,
        HallId hall,
        InetSocketAddress listen,
        InetSocketAddress adminListen,
        URI platform,
        List<InetSocketAddress> seeds,
        int retryShare,
        int maxThreads,
        long drainMillis) {

    /**
     * Parses and validates the settings.
     *
     * @param text the JSON text
     * @return the settings
     * @throws org.standlink.StandlinkException with code INVALID_SETTINGS, listing all errors
     */
    public static EntrySettings read(String text) {
        ValidationErrors errors = new ValidationErrors();
        JsonSection top = JsonSection.parse(text, errors);
        EntrySettings settings =
                new EntrySettings(
                        top.requiredText("name"),
                        top.requiredValue("hall", HallId::parse),
                        top.requiredValue("listen", Addresses::parse),
                        top.requiredValue("adminListen", Addresses::parse),
                        top.requiredValue("platform", Addresses::parseHttp),
                        top.values("seeds", Addresses::parse),
                        (int) top.integer("retryShare", 20, 0, 100),
                        (int) top.integer("mostThreads", 256, 4, 10_000),
                        top.integer("drainMillis", 30_000, 100, 600_000));
        top.reportUnknownKeys();
        errors.throwIfAny(ErrorCode.INVALID_SETTINGS, "the entry's settings");
        return settings;
    }
}
