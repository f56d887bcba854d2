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

import org.standlink.job.RunFormat;
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/**
 * The binary format of orders to start a run, without data binding: an array of the components in
 * their order.
 *
 * <p>{@code StartOrderFormat} is thread-safe and immutable.
 */
final class StartOrderFormat {

    private StartOrderFormat() {}

    /** The format of {@link StartOrder}. */
    static final PackFormat<StartOrder> START = new OrderFormat();

    private static final class OrderFormat implements PackFormat<StartOrder> {

        @Override
        public void write(PackOutput output, StartOrder value) {
            output.array(6)
                    .value(value.run(), RunFormat.RUN)
                    .text(value.specification())
                    .text(value.checkpoint())
                    .flag(value.bestEffort())
                    .decimal(value.targetMillis())
                    .text(value.image());
        }

        @Override
        public StartOrder read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            StartOrder value =
                    new StartOrder(
                            parts.value(RunFormat.RUN),
                            parts.text(),
                            parts.text(),
                            parts.flag(),
                            parts.decimal(),
                            parts.text());
            parts.end();
            return value;
        }
    }
}
