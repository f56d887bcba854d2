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

import org.standlink.StandlinkException;

/**
 * A channel to another process, for sending messages to it and for answering its calls.
 *
 * <p>Implementations are thread-safe.
 */
public interface MessageChannel {

    /**
     * Sends a message without waiting for an answer.
     *
     * @param message the message
     * @throws StandlinkException with code CONNECTION_LOST if the other process cannot be reached
     */
    void send(Message message);

    /**
     * Answers a call.
     *
     * @param call the number of the call, 0 if no answer is expected
     * @param message the answer
     */
    void answer(long call, Message message);
}
