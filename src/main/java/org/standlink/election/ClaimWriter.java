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

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.store.KeyedStore;
import org.standlink.store.Topic;

/**
 * Writes claims and resignations, each on the condition that this process has read all earlier
 * ones.
 *
 * <p>The store retains only the newest of them for good, and a process that starts reads only that
 * one. A record that followed one which its writer had not read could therefore bring back an older
 * epoch, and the next epoch would be claimed a second time.
 *
 * <p>{@code ClaimWriter} is thread-safe.
 */
public final class ClaimWriter {

    private final KeyedStore store;

    /** Supplies the offset up to which claims have been read, negative before the first read. */
    private final LongSupplier claimsRead;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param claimsRead gets the offset up to which claims have been read and applied, negative
     *     before the first read
     */
    public ClaimWriter(KeyedStore store, LongSupplier claimsRead) {
        this.store = store;
        this.claimsRead = claimsRead;
    }

    /**
     * Checks whether the claims have been read.
     *
     * @return false if nothing can be written yet
     */
    boolean isReady() {
        return claimsRead.getAsLong() >= 0;
    }

    /**
     * Writes a claim or a resignation. The caller must not apply further claims between its
     * decision and this call.
     *
     * @param claim the claim, which is based on the newest one that was read
     * @return the new end offset; fails with CONDITION_FAILED if there is a claim that this process
     *     has not read, also if the store executes the call late
     */
    public CompletableFuture<Long> write(Claim claim) {
        long end = claimsRead.getAsLong();
        if (end < 0) {
            return CompletableFuture.failedFuture(
                    new StandlinkException(
                            ErrorCode.CONDITION_FAILED,
                            "the claims have not been read",
                            "try again once they have"));
        }
        return store.appendAt(Topic.CLAIMS, List.of(claim.toRecord()), end);
    }
}
