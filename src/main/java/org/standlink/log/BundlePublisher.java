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
package org.standlink.log;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.standlink.BundleVersion;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleReader;
import org.standlink.bundle.SignedBundle;
import org.standlink.port.LogPort;

/**
 * Publishes bundles and determines whether they were accepted, even if answers of the log are lost.
 *
 * <p>{@code BundlePublisher} is mutable and not thread-safe; use one instance for each bundle.
 */
public final class BundlePublisher {

    /** The maximum number of times that a record is appended while its outcome is unknown. */
    private static final int MAX_APPENDS = 3;

    /** The maximum number of reads that look for the record after each append. */
    private static final int MAX_READS = 10;

    /** The time between two reads, in milliseconds. */
    private static final long READ_INTERVAL_MILLIS = 200;

    private final LogPort log;

    private final LogFollower follower;

    /** The decision on each record, by record id; empty if the bundle was accepted. */
    private final Map<String, Optional<StandlinkException>> decisions = new HashMap<>();

    /**
     * Creates a publisher that has not read the log yet.
     *
     * @param log the log
     */
    public BundlePublisher(LogPort log) {
        this.log = log;
        this.follower =
                new LogFollower(
                        log, (id, refusal) -> decisions.put(id, Optional.ofNullable(refusal)));
    }

    /**
     * Publishes a bundle.
     *
     * @param signedText the text of the signed bundle
     * @return the version, which is now in force
     * @throws StandlinkException with code STALE_BASE, INVALID_BUNDLE or INVALID_SIGNATURE if the
     *     bundle was refused, PLATFORM_UNAVAILABLE if nothing was published, or
     *     PLATFORM_OUTCOME_UNKNOWN if it may or may not have been published
     */
    public BundleVersion publish(String signedText) {
        Bundle bundle = BundleReader.read(SignedBundle.read(signedText).bundle());
        follower.poll();
        if (isInForce(signedText)) {
            return bundle.version();
        }
        rejectStaleBase(bundle);
        String id = RecordCodec.newId();
        byte[] record = RecordCodec.encode(new BundleRecord(id, signedText));
        for (int i = 0; i < MAX_APPENDS; i++) {
            append(record, i);
            if (awaitDecision(id)) {
                break;
            }
        }
        return requireAccepted(id, signedText, bundle.version());
    }

    /**
     * Gets the follower of the log, in its state after the last read.
     *
     * @return the follower
     */
    public LogFollower getFollower() {
        return follower;
    }

    // -----------------------------------------------------------------------
    private boolean isInForce(String signedText) {
        return follower.read(fold -> signedText.equals(fold.getBundles().getSignedText()));
    }

    private void rejectStaleBase(Bundle bundle) {
        BundleVersion current = follower.read(fold -> fold.getBundles().getVersion());
        if (!bundle.base().equals(current)) {
            throw new StandlinkException(
                    ErrorCode.STALE_BASE,
                    "base " + bundle.base() + " is not in force; version " + current + " won",
                    "fetch version " + current + ", make the change there and publish again");
        }
    }

    private void append(byte[] record, int previousAppends) {
        try {
            log.append(record);
        } catch (StandlinkException failure) {
            boolean notAppended =
                    failure.getCode() == ErrorCode.PLATFORM_UNAVAILABLE && previousAppends == 0;
            if (notAppended) {
                throw failure;
            }
            // The record may have been appended; the log is read next to find out.
        }
    }

    private boolean awaitDecision(String id) {
        for (int i = 0; i < MAX_READS; i++) {
            try {
                follower.poll();
            } catch (StandlinkException unavailable) {
                // The log may become available again within the remaining reads.
            }
            if (decisions.containsKey(id)) {
                return true;
            }
            pause();
        }
        return false;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw outcomeUnknown();
        }
    }

    private BundleVersion requireAccepted(String id, String signedText, BundleVersion version) {
        Optional<StandlinkException> decision = decisions.get(id);
        if (decision == null) {
            throw outcomeUnknown();
        }
        if (decision.isPresent() && !isInForce(signedText)) {
            throw decision.get();
        }
        return version;
    }

    private static StandlinkException outcomeUnknown() {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "the bundle may or may not have been published",
                "run 'standlink bundle status' later, and publish again if it is not in force");
    }
}
