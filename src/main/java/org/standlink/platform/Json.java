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
package org.standlink.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.json.JsonTree;

/**
 * Parses and serialises the JSON bodies of the platform's protocols.
 *
 * <p>{@code Json} is thread-safe.
 */
final class Json {

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    static ObjectNode newObject() {
        return JsonTree.newObject();
    }

    /**
     * Parses a body.
     *
     * @param body the bytes
     * @return the value, an empty object for an empty body
     * @throws StandlinkException with code INVALID_MESSAGE if the body is not valid JSON
     */
    static JsonNode read(byte[] body) {
        try {
            JsonNode value = JsonTree.read(body);
            return value.isMissingNode() ? newObject() : value;
        } catch (IOException malformed) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "a body of " + body.length + " bytes is not valid JSON",
                    "check the sender of the message",
                    malformed);
        }
    }

    /**
     * Serialises a body.
     *
     * @param value the value
     * @return the bytes
     */
    static byte[] write(JsonNode value) {
        try {
            return JsonTree.write(value);
        } catch (IOException unexpected) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    "a JSON value could not be serialised",
                    "report a defect",
                    unexpected);
        }
    }
}
