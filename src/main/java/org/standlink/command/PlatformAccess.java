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

import org.standlink.json.Addresses;
import org.standlink.port.HttpLog;
import org.standlink.port.JsonHttpClient;
import org.standlink.port.LogPort;
import org.standlink.process.ProcessThreads;

/**
 * Opens the platform's services for the commands of operators.
 *
 * <p>{@code PlatformAccess} is thread-safe and immutable.
 */
final class PlatformAccess {

    private PlatformAccess() {}

    /**
     * Opens the log.
     *
     * @param platform the platform's address
     * @return the log
     */
    static LogPort openLog(String platform) {
        return new HttpLog(
                new JsonHttpClient(
                        Addresses.parseHttp(platform),
                        JsonHttpClient.newClient(ProcessThreads.newCached("platform"))));
    }
}
