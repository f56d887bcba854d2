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
 * Receives the requests of the operator: configurations, and halls to be evacuated.
 *
 * <p>{@code OperatorTopicReceiver} is thread-safe.
 */
final class OperatorTopicReceiver implements TopicReceiver {

    private static final EventLog LOG = EventLog.of(OperatorTopicReceiver.class);

    private final Consumer<Configuration> configurationReceiver;

    private final AtomicReference<EvacuatedHalls> evacuatedHalls =
            new AtomicReference<>(EvacuatedHalls.NONE);

    /**
     * Creates a receiver without any evacuated halls.
     *
     * @param configurationReceiver receives each configuration
     */
    OperatorTopicReceiver(Consumer<Configuration> configurationReceiver) {
        this.configurationReceiver = configurationReceiver;
    }

    /**
     * Gets the evacuated halls.
     *
     * @return the halls
     */
    EvacuatedHalls getEvacuatedHalls() {
        return evacuatedHalls.get();
    }

    // -----------------------------------------------------------------------
    @Override
    public void receive(KeyedRecord record) {
        decode(record, () -> ConfigurationFormat.decode(record)).ifPresent(configurationReceiver);
        decode(record, () -> EvacuationFormat.decode(record))
                .ifPresent(change -> setEvacuatedHalls(evacuatedHalls.get().with(change)));
    }

    @Override
    public void receiveNewest(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            decode(record, () -> ConfigurationFormat.decode(record))
                    .ifPresent(configurationReceiver);
        }
        // A key that is missing here was removed, even if the record of its removal was dropped.
        List<HallId> halls =
                records.stream()
                        .map(record -> decode(record, () -> EvacuationFormat.decode(record)))
                        .flatMap(Optional::stream)
                        .filter(EvacuationChange::evacuated)
                        .map(EvacuationChange::hall)
                        .toList();
        setEvacuatedHalls(EvacuatedHalls.of(halls));
    }

    /** Decodes a record; a malformed one is skipped, so that it does not hide the others. */
    private static <T> Optional<T> decode(KeyedRecord record, Supplier<Optional<T>> decoder) {
        try {
            return decoder.get();
        } catch (RuntimeException malformed) {
            LOG.error("record-not-read").with("key", record.key()).with("cause", malformed).write();
            return Optional.empty();
        }
    }

    private void setEvacuatedHalls(EvacuatedHalls halls) {
        EvacuatedHalls previous = evacuatedHalls.getAndSet(halls);
        if (!previous.equals(halls)) {
            LOG.info("halls-evacuated").with("halls", halls).with("before", previous).write();
        }
    }
}
