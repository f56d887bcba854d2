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

import java.util.HashSet;
import java.util.Set;
import org.standlink.BundleVersion;
import org.standlink.ErrorCode;
import org.standlink.OperatorId;
import org.standlink.StandlinkException;

/**
 * Applies published bundles in the order of the log and decides which of them are accepted.
 *
 * <p>A bundle is accepted only if its base is the version in force, it is valid, and it is signed
 * by its author and by another operator. The signatures are verified with the keys of the version
 * in force; those of the first bundle with its own keys. The version in force never decreases.
 *
 * <p>{@code BundleFold} is mutable and not thread-safe; callers must synchronise access.
 */
public final class BundleFold {

    /** The smallest number of valid signatures: the author's and another operator's. */
    private static final int MIN_SIGNATURES = 2;

    /** The bundle in force, null if none. */
    private Bundle bundle;

    /** The signed text of the bundle in force, null if none. */
    private String signedText;

    /**
     * Applies a published bundle.
     *
     * @param text the signed bundle's text
     * @throws StandlinkException if it is not accepted, with code STALE_BASE, INVALID_BUNDLE or
     *     INVALID_SIGNATURE; the bundle in force is unchanged
     */
    public void apply(String text) {
        SignedBundle signed = SignedBundle.read(text);
        Bundle next = BundleReader.read(signed.bundle());
        if (!next.base().equals(getVersion())) {
            throw new StandlinkException(
                    ErrorCode.STALE_BASE,
                    "base " + next.base() + " is not in force; version " + getVersion() + " won",
                    "fetch version " + getVersion() + ", apply the change to it and publish again");
        }
        checkSignatures(signed, bundle == null ? next : bundle);
        install(next, text);
    }

    /**
     * Installs a bundle that another process has accepted, if it is newer.
     *
     * @param text the signed bundle's text
     * @return true if it is newer and now in force
     */
    public boolean adopt(String text) {
        Bundle next = BundleReader.read(SignedBundle.read(text).bundle());
        if (!next.version().isAfter(getVersion())) {
            return false;
        }
        install(next, text);
        return true;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the bundle in force.
     *
     * @return the bundle, null if none
     */
    public Bundle getBundle() {
        return bundle;
    }

    /**
     * Gets the signed text of the bundle in force.
     *
     * @return the text, null if none
     */
    public String getSignedText() {
        return signedText;
    }

    /**
     * Gets the version in force.
     *
     * @return the version, NONE if none
     */
    public BundleVersion getVersion() {
        return bundle == null ? BundleVersion.NONE : bundle.version();
    }

    // -----------------------------------------------------------------------
    private void install(Bundle next, String text) {
        bundle = next;
        signedText = text;
    }

    private static void checkSignatures(SignedBundle signed, Bundle keys) {
        Set<OperatorId> valid = new HashSet<>();
        for (SignedBundle.Signature signature : signed.signatures()) {
            keys.findOperator(signature.operator())
                    .filter(
                            key ->
                                    BundleSigner.isValid(
                                            signed.bundle(), signature, key.publicKey()))
                    .ifPresent(key -> valid.add(key.id()));
        }
        if (!valid.contains(signed.author())) {
            throw invalidSignature("no valid signature by the author '" + signed.author() + "'");
        }
        if (valid.size() < MIN_SIGNATURES) {
            throw invalidSignature("no valid signature by a second operator");
        }
    }

    private static StandlinkException invalidSignature(String problem) {
        return new StandlinkException(
                ErrorCode.INVALID_SIGNATURE,
                problem,
                "have two operators of the bundle in force sign it with 'standlink bundle sign'");
    }
}
