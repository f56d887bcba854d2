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
package org.standlink.wire;

/** Handles the messages that arrive on connections. */
@FunctionalInterface
public interface MessageHandler {

    /**
     * Handles one message.
     *
     * <p>Called on the reading thread of the connection. Work that takes long must be done on
     * another thread and answered later.
     *
     * @param connection the connection on which the message arrived
     * @param call the number of the call, 0 if no answer is expected
     * @param message the message
     */
    void handle(Connection connection, long call, Message message);
}
