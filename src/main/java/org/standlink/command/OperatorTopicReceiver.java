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
package org.standlink.command;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.standlink.HallId;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.EvacuationChange;
import org.standlink.platform.ConfigurationFormat;
import org.standlink.platform.EvacuationFormat;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;
import org.standlink.store.TopicReceiver;

/**
 * What the operator has asked for: configurations, and halls to be evacuated.
 *
 * <p>{@code OperatorTopicReceiver} is thread-safe.
 */
final class OperatorTopicReceiver implements TopicReceiver {

    /** The log. */
    private static final EventLog LOG = EventLog.of(OperatorTopicReceiver.class);

    /** Receives each configuration. */
    private final Consumer<Configuration> configurations;

    /** The evacuated halls. */
    private final AtomicReference<EvacuatedHalls> evacuated =
            new AtomicReference<>(EvacuatedHalls.NONE);

    /**
     * Constructor.
     *
     * @param configurations receives each configuration
     */
    OperatorTopicReceiver(Consumer<Configuration> configurations) {
        this.configurations = configurations;
    }

    /**
     * Gets the evacuated halls.
     *
     * @return the halls
     */
    EvacuatedHalls getEvacuatedHalls() {
        return evacuated.get();
    }

    // -----------------------------------------------------------------------
    @Override
    public void receive(KeyedRecord record) {
        read(record, () -> ConfigurationFormat.decode(record)).ifPresent(configurations);
        read(record, () -> EvacuationFormat.decode(record))
                .ifPresent(change -> setEvacuated(evacuated.get().with(change)));
    }

    @Override
    public void receiveNewest(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            read(record, () -> ConfigurationFormat.decode(record)).ifPresent(configurations);
        }
        // A key that is missing here was removed, however many records of it were dropped.
        List<HallId> halls =
                records.stream()
                        .map(record -> read(record, () -> EvacuationFormat.decode(record)))
                        .flatMap(Optional::stream)
                        .filter(EvacuationChange::evacuated)
                        .map(EvacuationChange::hall)
                        .toList();
        setEvacuated(EvacuatedHalls.of(halls));
    }

    /** One record that cannot be read must not hide the others. */
    private static <T> Optional<T> read(KeyedRecord record, Supplier<Optional<T>> format) {
        try {
            return format.get();
        } catch (RuntimeException malformed) {
            LOG.error("record-not-read").with("key", record.key()).with("cause", malformed).write();
            return Optional.empty();
        }
    }

    private void setEvacuated(EvacuatedHalls halls) {
        EvacuatedHalls before = evacuated.getAndSet(halls);
        if (!before.equals(halls)) {
            LOG.info("halls-evacuated").with("halls", halls).with("before", before).write();
        }
    }
}
