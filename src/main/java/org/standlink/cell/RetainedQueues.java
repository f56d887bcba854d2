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
package org.standlink.cell;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.job.QueueDefinitionFormat;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;
import org.standlink.store.MessagePackCodec;

/**
 * The configuration by which accepted jobs are run: the published one, and the last definition of
 * each queue that it no longer names and that still has jobs.
 *
 * <p>A queue that is removed accepts no further jobs, but those that it has accepted are run to
 * their end as before. The definitions are persisted, since a new leader may begin while a queue is
 * removed. While the published configuration names a queue, its definition counts.
 *
 * <p>{@code RetainedQueues} is not thread-safe; it is confined to the leader's event loop.
 */
final class RetainedQueues implements ChangeSource, Supplier<Configuration> {

    /**
     * How long a removed queue without jobs is retained, in milliseconds: an entry that does not
     * know of the removal yet may still pass on a job.
     */
    private static final long RETENTION_MILLIS = 60_000;

    /** The key prefix of definitions of queues. */
    private static final String KEY_PREFIX = "q/";

    /** The maximum length of a key in the store. */
    private static final int MAX_KEY_LENGTH = 255;

    private static final EventLog LOG = EventLog.of(RetainedQueues.class);

    private final Supplier<Configuration> published;

    /** The last definition of each queue, by its name. */
    private final Map<String, QueueDefinition> queues = new LinkedHashMap<>();

    /** The names of the queues whose definition is to be persisted, or removed if not known. */
    private final Set<String> changed = new LinkedHashSet<>();

    /** Since when a removed queue has had no jobs, on the leader's clock, by its name. */
    private final Map<String, Long> unusedSince = new HashMap<>();

    /** The published configuration that was applied last. */
    private Configuration applied = Configuration.NONE;

    /** The configuration that follows from it. */
    private Configuration effective = Configuration.NONE;

    RetainedQueues(Supplier<Configuration> published) {
        this.published = published;
    }

    /**
     * Restores the persisted definitions.
     *
     * @param records the records, in any order; those with other keys are ignored
     */
    void restore(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            if (record.key().startsWith(KEY_PREFIX) && record.value().length > 0) {
                QueueDefinition queue =
                        MessagePackCodec.decode(
                                record.value(), QueueDefinition.class, QueueDefinitionFormat.QUEUE);
                queues.put(queue.name(), queue);
            }
        }
    }

    /**
     * Gets the configuration by which accepted jobs are run.
     *
     * @return the configuration; the published one alone as long as none has been read
     */
    @Override
    public Configuration get() {
        Configuration current = published.get();
        if (current != applied && current.isRead()) {
            apply(current);
        }
        return current.isRead() ? effective : current;
    }

    private void apply(Configuration current) {
        Set<String> named = new HashSet<>();
        for (QueueDefinition queue : current.queues()) {
            // The first one of a name counts, as in Configuration.findQueue.
            if (named.add(queue.name()) && !queue.equals(queues.put(queue.name(), queue))) {
                changed.add(queue.name());
            }
        }
        applied = current;
        unusedSince.keySet().removeAll(named);
        combine(named);
    }

    private void combine(Set<String> named) {
        List<QueueDefinition> combined = new ArrayList<>(applied.queues());
        for (QueueDefinition queue : queues.values()) {
            if (!named.contains(queue.name())) {
                combined.add(queue);
                LOG.info("queue-retained")
                        .with("queue", queue.name())
                        .with("service", queue.service())
                        .with("version", applied.version())
                        .write();
            }
        }
        effective =
                new Configuration(
                        applied.version(),
                        List.copyOf(combined),
                        applied.unguardedServices(),
                        applied.mostBodyBytes());
    }

    /**
     * Removes the definitions of removed queues that have had no unfinished jobs for a while.
     *
     * @param jobs the jobs
     * @param now the time on the leader's clock
     */
    void removeUnused(JobRegistry jobs, long now) {
        if (effective.queues().size() == applied.queues().size()) {
            return;
        }
        Set<String> used = new HashSet<>();
        for (QueueDefinition queue : applied.queues()) {
            used.add(queue.name());
        }
        Set<String> named = Set.copyOf(used);
        for (JobEntry job : jobs.getJobs()) {
            if (!job.getState().isFinal()) {
                used.add(job.getDefinition().queue());
            }
        }
        boolean removed = false;
        Iterator<String> names = queues.keySet().iterator();
        while (names.hasNext()) {
            String name = names.next();
            if (used.contains(name)) {
                unusedSince.remove(name);
            } else if (now - unusedSince.computeIfAbsent(name, key -> now) >= RETENTION_MILLIS) {
                names.remove();
                unusedSince.remove(name);
                changed.add(name);
                removed = true;
            }
        }
        if (removed) {
            combine(named);
        }
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean hasChanges() {
        // Definitions go along with the next append, at the latest that of the next heartbeat. The
        // append of a job's acceptance is one, so no job is stored before its queue.
        return false;
    }

    @Override
    public List<KeyedRecord> takeChanges() {
        List<KeyedRecord> records = new ArrayList<>();
        for (String name : changed) {
            QueueDefinition queue = queues.get(name);
            String key = KEY_PREFIX + URLEncoder.encode(name, StandardCharsets.UTF_8);
            if (key.length() <= MAX_KEY_LENGTH) {
                byte[] value =
                        queue == null
                                ? new byte[0]
                                : MessagePackCodec.encode(queue, QueueDefinitionFormat.QUEUE);
                records.add(new KeyedRecord(key, value));
            }
        }
        changed.clear();
        return records;
    }

    @Override
    public void markPersisted() {
        // Nothing waits for a definition: it is part of the append that follows a publication.
    }
}
