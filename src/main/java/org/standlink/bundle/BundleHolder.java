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
 * Holds the newest accepted bundle that a process has received, from the log or from a peer.
 *
 * <p>The version never decreases. The holder is separate from the fold of the log, which must apply
 * records in the order of the log only.
 *
 * <p>{@code BundleHolder} is thread-safe.
 */
public final class BundleHolder {

    private final BundleFold newest = new BundleFold();

    /** The bundle in force; volatile, so that it is read without a lock. */
    private volatile Bundle bundle;

    /**
     * Installs an accepted bundle if it is newer than the one in force.
     *
     * @param signedText the signed bundle's text, ignored if null
     * @param version its version
     * @return true if it is now in force
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
        Bundle current = bundle;
        return current == null ? BundleVersion.NONE : current.version();
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
