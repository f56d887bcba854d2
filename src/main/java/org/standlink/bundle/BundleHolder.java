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
package org.standlink.bundle;

import org.standlink.BundleVersion;

/**
 * The newest accepted bundle that a process has heard of, whether from the log or from a peer.
 *
 * <p>It never goes below a version it has held. It is kept apart from the fold of the log, which
 * must see records only in the log's order.
 *
 * <p>{@code BundleHolder} is thread-safe.
 */
public final class BundleHolder {

    /** The newest bundle. */
    private final BundleFold newest = new BundleFold();

    /** The bundle in force, read without a lock. */
    private volatile Bundle bundle;

    /**
     * Offers an accepted bundle.
     *
     * @param signedText the signed bundle's text, null to offer nothing
     * @param version its version
     * @return true if it is newer and now in force here
     */
    public synchronized boolean offer(String signedText, BundleVersion version) {
        if (signedText == null || !version.isAfter(newest.getVersion())) {
            return false;
        }
        boolean adopted = newest.adopt(signedText);
        bundle = newest.getBundle();
        return adopted;
    }

    /**
     * Gets the bundle in force.
     *
     * @return the bundle, null if none
     */
    public Bundle getBundle() {
        return bundle;
    }

    /**
     * Gets the version in force.
     *
     * @return the version, NONE if none
     */
    public BundleVersion getVersion() {
        Bundle present = bundle;
        return present == null ? BundleVersion.NONE : present.version();
    }

    /**
     * Gets the signed text of the bundle in force.
     *
     * @return the text, null if none
     */
    public synchronized String getSignedText() {
        return newest.getSignedText();
    }
}
