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
package org.standlink;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The version of a bundle.
 *
 * <p>Each accepted bundle increases the version by one; version zero means that no bundle has been
 * accepted.
 *
 * <p>{@code BundleVersion} is thread-safe and immutable.
 */
public final class BundleVersion extends AbstractSequence<BundleVersion> {

    /** The value that precedes the first version. */
    public static final BundleVersion NONE = new BundleVersion(0);

    private BundleVersion(long value) {
        super(value);
    }

    /**
     * Creates a version from its number.
     *
     * @param value the number, zero or more
     * @return the version
     * @throws StandlinkException with code INVALID_IDENTIFIER if the number is negative
     */
    @JsonCreator
    public static BundleVersion of(long value) {
        return new BundleVersion(check("BundleVersion", value));
    }

    @Override
    public BundleVersion next() {
        return new BundleVersion(getValue() + 1);
    }
}
