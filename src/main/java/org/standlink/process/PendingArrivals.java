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
package org.standlink.process;

/** The requests that have reached a server and are not answered yet. */
public interface PendingArrivals {

    /**
     * Waits until the server has read all requests that arrived before this call.
     *
     * @param timeoutMillis the timeout, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    void await(long timeoutMillis) throws InterruptedException;

    /**
     * Gets the number of requests that the server has read and not answered.
     *
     * @return the number
     */
    int getPendingCount();
}
