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
 * Publishes bundles and finds out whether they were accepted, also when answers are lost.
 *
 * <p>{@code BundlePublisher} is mutable and not thread-safe; use one for each bundle.
 */
public final class BundlePublisher {

    /** How often a lost append is made again. */
    private static final int APPENDS = 3;

    /** How often the log is read for the record before it is appended again. */
    private static final int READS = 10;

    /** The time between two readings, in milliseconds. */
    private static final long READ_MILLIS = 200;

    /** The log. */
    private final LogPort log;

    /** The fold of the log. */
    private final LogFollower follower;

    /** What became of each record; empty if accepted. */
    private final Map<String, Optional<StandlinkException>> decided = new HashMap<>();

    /**
     * Constructor.
     *
     * @param log the log
     */
    public BundlePublisher(LogPort log) {
        this.log = log;
        this.follower =
                new LogFollower(
                        log, (id, refusal) -> decided.put(id, Optional.ofNullable(refusal)));
    }

    /**
     * Publishes a bundle.
     *
     * @param signedText the signed bundle's text
     * @return the version, now in force
     * @throws StandlinkException with code STALE_BASE, INVALID_BUNDLE or INVALID_SIGNATURE if it
     *     was refused, PLATFORM_UNAVAILABLE if nothing was published, or PLATFORM_OUTCOME_UNKNOWN
     */
    public BundleVersion publish(String signedText) {
        Bundle bundle = BundleReader.read(SignedBundle.read(signedText).bundle());
        follower.poll();
        if (isInForce(signedText)) {
            return bundle.version();
        }
        refuseStale(bundle);
        String id = RecordCodec.newId();
        byte[] record = RecordCodec.encode(new BundleRecord(id, signedText));
        for (int i = 0; i < APPENDS; i++) {
            append(record, i);
            if (findDecision(id)) {
                break;
            }
        }
        return result(id, signedText, bundle.version());
    }

    /**
     * Gets the fold of the log as of the last reading.
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

    private void refuseStale(Bundle bundle) {
        BundleVersion present = follower.read(fold -> fold.getBundles().getVersion());
        if (!bundle.base().equals(present)) {
            throw new StandlinkException(
                    ErrorCode.STALE_BASE,
                    "base " + bundle.base() + " is not in force; version " + present + " won",
                    "fetch version " + present + ", make the change there and publish again");
        }
    }

    private void append(byte[] record, int earlier) {
        try {
            log.append(record);
        } catch (StandlinkException failure) {
            boolean nothing = failure.getCode() == ErrorCode.PLATFORM_UNAVAILABLE && earlier == 0;
            if (nothing) {
                throw failure;
            }
            // It may have been appended, so the log is read for it next.
        }
    }

    private boolean findDecision(String id) {
        for (int i = 0; i < READS; i++) {
            try {
                follower.poll();
            } catch (StandlinkException unavailable) {
                // The log may come back within the readings that are left.
            }
            if (decided.containsKey(id)) {
                return true;
            }
            pause();
        }
        return false;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw unknown();
        }
    }

    private BundleVersion result(String id, String signedText, BundleVersion version) {
        Optional<StandlinkException> decision = decided.get(id);
        if (decision == null) {
            throw unknown();
        }
        if (decision.isPresent() && !isInForce(signedText)) {
            throw decision.get();
        }
        return version;
    }

    private static StandlinkException unknown() {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "the bundle may or may not have been published",
                "run 'standlink bundle status' later, and publish again if it is not in force");
    }
}
