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
package org.standlink.job;

import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/**
 * The binary format of definitions of queues: an array of the components in their order.
 *
 * <p>{@code QueueDefinitionFormat} is thread-safe and immutable.
 */
public final class QueueDefinitionFormat implements PackFormat<QueueDefinition> {

    /** The format. */
    public static final QueueDefinitionFormat QUEUE = new QueueDefinitionFormat();

    private QueueDefinitionFormat() {}

    @Override
    public void write(PackOutput output, QueueDefinition value) {
        output.array(9)
                .text(value.name())
                .text(value.host())
                .text(value.pathPrefix())
                .text(value.service())
                .number(value.priority())
                .number(value.mostAttempts())
                .number(value.targetMillis())
                .decimal(value.stretch())
                .flag(value.advised());
    }

    @Override
    public QueueDefinition read(PackInput input) {
        PackArray parts = input.array();
        if (parts == null) {
            return null;
        }
        QueueDefinition value =
                new QueueDefinition(
                        parts.text(),
                        parts.text(),
                        parts.text(),
                        parts.text(),
                        parts.integer(),
                        parts.integer(),
                        parts.number(),
                        parts.decimal(),
                        parts.flag());
        parts.end();
        return value;
    }
}
