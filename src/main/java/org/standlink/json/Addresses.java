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
package org.standlink.json;

import java.net.InetSocketAddress;
import java.net.URI;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Parses addresses in settings and bundles.
 *
 * <p>{@code Addresses} is thread-safe and immutable.
 */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address of host and port.
     *
     * @param text the text, such as {@code 10.0.0.1:7000}
     * @return the address
     * @throws StandlinkException with code INVALID_SETTINGS if the text is malformed
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            throw invalidAddress(text, "host:port, such as 10.0.0.1:7000", e);
        }
        throw invalidAddress(text, "host:port, such as 10.0.0.1:7000", null);
    }

    /**
     * Parses the base of HTTP addresses.
     *
     * @param text the text, such as {@code http://10.0.0.1:7000}
     * @return the address
     * @throws StandlinkException with code INVALID_SETTINGS if the text is malformed
     */
    public static URI parseHttp(String text) {
        try {
            URI uri = URI.create(text);
            if (uri.getHost() != null && uri.getScheme().matches("https?")) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            throw invalidAddress(text, "http://host:port", e);
        }
        throw invalidAddress(text, "http://host:port", null);
    }

    private static StandlinkException invalidAddress(String text, String form, Throwable cause) {
        return new StandlinkException(
                ErrorCode.INVALID_SETTINGS,
                "'" + text + "' is not an address",
                "use " + form,
                cause);
    }
}
