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
package org.standlink.election;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;

/**
 * Client for calls to the leader with the newest known epoch.
 *
 * <p>Implementations are thread-safe.
 */
public interface LeaderClient {

    /**
     * Offers the address of a leader; one of an older epoch is ignored.
     *
     * @param notice the epoch and the address
     * @param source the source of the notice, for the log
     */
    void offer(LeaderNotice notice, String source);

    /**
     * Gets the leader with the newest known epoch.
     *
     * @return the epoch and the address
     */
    LeaderNotice getLeader();

    /**
     * Sends a message to the leader.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    CompletableFuture<Message> call(Message message, long timeoutMillis);

    /**
     * Checks whether a call failed because no process listens at the leader's address.
     *
     * @param failure why the call failed, null if it did not
     * @return true if the connection was refused
     */
    static boolean isConnectionRefused(Throwable failure) {
        Throwable cause = failure;
        while (cause != null && !(cause instanceof ConnectException)) {
            cause = cause.getCause();
        }
        return cause != null && String.valueOf(cause.getMessage()).contains("refused");
    }
}
