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
package org.standlink.pack;

import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;

/**
 * The formats of values that are one integer.
 *
 * <p>{@code SequenceFormat} is thread-safe and immutable.
 */
public final class SequenceFormat {

    private SequenceFormat() {}

    /** The format of {@link Epoch}. */
    public static final PackFormat<Epoch> EPOCH = new EpochFormat();

    private static final class EpochFormat implements PackFormat<Epoch> {

        @Override
        public void write(PackOutput output, Epoch value) {
            output.sequence(value);
        }

        @Override
        public Epoch read(PackInput input) {
            return input.isNil() ? null : Epoch.of(input.number());
        }
    }

    /** The format of {@link LeaseGeneration}. */
    public static final PackFormat<LeaseGeneration> GENERATION = new GenerationFormat();

    private static final class GenerationFormat implements PackFormat<LeaseGeneration> {

        @Override
        public void write(PackOutput output, LeaseGeneration value) {
            output.sequence(value);
        }

        @Override
        public LeaseGeneration read(PackInput input) {
            return input.isNil() ? null : LeaseGeneration.of(input.number());
        }
    }

    /** The format of {@link Incarnation}. */
    public static final PackFormat<Incarnation> INCARNATION = new IncarnationFormat();

    private static final class IncarnationFormat implements PackFormat<Incarnation> {

        @Override
        public void write(PackOutput output, Incarnation value) {
            output.incarnation(value);
        }

        @Override
        public Incarnation read(PackInput input) {
            return input.isNil() ? null : Incarnation.of(input.number());
        }
    }
}
