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
package org.standlink.policy;

import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/**
 * The binary format of estimated interference, without data binding: an array of the components in
 * their order.
 *
 * <p>{@code EstimateFormat} is thread-safe and immutable.
 */
public final class EstimateFormat {

    private EstimateFormat() {}

    /** The format of {@link InterferenceTable.Entry}. */
    public static final PackFormat<InterferenceTable.Entry> ESTIMATE = new EntryFormat();

    private static final class EntryFormat implements PackFormat<InterferenceTable.Entry> {

        @Override
        public void write(PackOutput output, InterferenceTable.Entry value) {
            output.array(3)
                    .text(value.serving())
                    .text(value.bestEffort())
                    .decimal(value.estimate());
        }

        @Override
        public InterferenceTable.Entry read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            InterferenceTable.Entry value =
                    new InterferenceTable.Entry(parts.text(), parts.text(), parts.decimal());
            parts.end();
            return value;
        }
    }
}
