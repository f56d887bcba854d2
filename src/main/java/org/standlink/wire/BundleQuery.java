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

import org.standlink.BundleVersion;

/**
 * Asks a peer for its bundle, if that is newer than the version that this process holds.
 *
 * <p>{@code BundleQuery} is thread-safe and immutable.
 *
 * @param held the version held by the sender
 */
public record BundleQuery(BundleVersion held) implements Message {}
