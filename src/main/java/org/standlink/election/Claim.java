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

import com.fasterxml.jackson.annotation.JsonFormat;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;
import org.standlink.pack.SequenceFormat;
import org.standlink.store.KeyedRecord;
import org.standlink.store.MessagePackCodec;

/**
 * A claim of the leadership of a cell; the newest one in the store is in force.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code Claim} is thread-safe and immutable.
 *
 * @param epoch the epoch that the claim begins
 * @param address the address at which the leader listens, host and port; empty if it has resigned
 * @param holder the incarnation of the process that claims
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Claim(Epoch epoch, String address, Incarnation holder) {

    /** The state before the first claim. */
    public static final Claim NONE = new Claim(Epoch.NONE, "", Incarnation.of(0));

    /** The key of claims in the store. */
    private static final String KEY = "leader";

    /**
     * Reads a claim from its record.
     *
     * @param record the record
     * @return the claim
     */
    public static Claim of(KeyedRecord record) {
        return MessagePackCodec.decode(record.value(), Claim.class, FORMAT);
    }

    /**
     * Creates the record of this claim.
     *
     * @return the record
     */
    public KeyedRecord toRecord() {
        return new KeyedRecord(KEY, MessagePackCodec.encode(this, FORMAT));
    }

    /**
     * Checks whether there is a leader according to this claim.
     *
     * @return false if the leader has resigned or there was none
     */
    public boolean isHeld() {
        return !address.isEmpty();
    }

    /**
     * Creates the resignation of the holder of this claim.
     *
     * @return a claim of the same epoch and holder, without an address
     */
    public Claim resigned() {
        return new Claim(epoch, "", holder);
    }

    // -----------------------------------------------------------------------
    private static final PackFormat<Claim> FORMAT = new ClaimFormat();

    private static final class ClaimFormat implements PackFormat<Claim> {

        @Override
        public void write(PackOutput output, Claim value) {
            output.array(4)
                    .sequence(value.epoch)
                    .text(value.address)
                    .incarnation(value.holder)
                    // Not a component; data binding wrote it and stored records contain it.
                    .flag(value.isHeld());
        }

        @Override
        public Claim read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            Claim value =
                    new Claim(
                            parts.value(SequenceFormat.EPOCH),
                            parts.text(),
                            parts.value(SequenceFormat.INCARNATION));
            parts.end();
            return value;
        }
    }
}
