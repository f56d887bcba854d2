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
package org.standlink.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.standlink.StandlinkException;
import org.standlink.election.LeaderLink;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;

/**
 * Answers callers: finds the queue of a request, forwards it to the leader and reports the outcome.
 * A request that may have been executed is never reported as not executed.
 *
 * <p>{@code JobGateway} is thread-safe.
 */
public final class JobGateway {

    /**
     * The maximum number of requests that wait for a leader at once: half of the threads that
     * answer callers, so that other requests are answered at once and none waits for a thread.
     */
    private static final int MAX_WAITING = 32;

    private static final EventLog LOG = EventLog.of(JobGateway.class);

    /** The configuration in force. */
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.NONE);

    private final LeaderLink leader;
    private final MonotonicClock clock;
    private final MeterRegistry registry;

    /** Permits for requests to wait for a leader. */
    private final Semaphore waitPermits;

    /**
     * Creates a gateway without a configuration.
     *
     * @param leader the connection to the leader
     * @param clock the clock
     * @param registry the registry of the histograms
     */
    public JobGateway(LeaderLink leader, MonotonicClock clock, MeterRegistry registry) {
        this(leader, clock, registry, MAX_WAITING);
    }

    /**
     * Creates a gateway without a configuration.
     *
     * @param leader the connection to the leader
     * @param clock the clock
     * @param registry the registry of the histograms
     * @param maxWaiting the maximum number of requests that wait for a leader at once
     */
    JobGateway(LeaderLink leader, MonotonicClock clock, MeterRegistry registry, int maxWaiting) {
        this.leader = leader;
        this.clock = clock;
        this.registry = registry;
        this.waitPermits = new Semaphore(maxWaiting);
    }

    /**
     * Offers a configuration; one that is not newer than the one in force is ignored.
     *
     * @param offered the configuration
     */
    public void offer(Configuration offered) {
        Configuration previous = configuration.getAndUpdate(current -> newer(current, offered));
        if (offered.version() > previous.version()) {
            LOG.info("configuration-in-force")
                    .with("version", offered.version())
                    .with("before", previous.version())
                    .write();
        }
    }

    /**
     * Checks whether callers can be answered.
     *
     * @return true if there is a configuration
     */
    public boolean isReady() {
        return configuration.get().version() > 0;
    }

    /**
     * Gets the maximum length of a body that the configuration in force permits.
     *
     * @return the limit in bytes, empty if there is none
     */
    public OptionalInt getMaxBodyBytes() {
        int limit = configuration.get().mostBodyBytes();
        return limit > 0 ? OptionalInt.of(limit) : OptionalInt.empty();
    }

    /**
     * Answers a request.
     *
     * @param host the host that the caller named
     * @param path the path
     * @param reader reads the request once its queue is known
     * @return the answer
     */
    public JobReply answer(String host, String path, Function<QueueDefinition, JobCall> reader) {
        long start = System.nanoTime();
        Configuration current = configuration.get();
        if (current.version() == 0) {
            return JobReply.ofNotRun("there is no configuration yet");
        }
        Optional<QueueDefinition> queue = current.findQueue(host, path);
        if (queue.isEmpty()) {
            LOG.info("no-queue").with("path", path).with("version", current.version()).write();
            return JobReply.of(404, "no queue takes this path");
        }
        JobCall call;
        try {
            call = reader.apply(queue.get());
        } catch (StandlinkException malformed) {
            LOG.info("request-refused").with("path", path).with("cause", malformed).write();
            return JobReply.of(400, malformed.getMessage());
        }
        if (call.kind() == null) {
            return JobReply.of(405, "use POST, GET or DELETE for a job, GET for a queue");
        }
        JobReply reply =
                new LeaderRequest(leader, clock, waitPermits, call, queue.get().name()).run();
        // The reply is returned even if recording it fails.
        Guarded.work(
                        "record",
                        () -> record(call, queue.get(), current, reply, System.nanoTime() - start))
                .run();
        return reply;
    }

    // -----------------------------------------------------------------------
    private static Configuration newer(Configuration current, Configuration offered) {
        return offered.version() > current.version() ? offered : current;
    }

    private void record(
            JobCall call,
            QueueDefinition queue,
            Configuration current,
            JobReply reply,
            long nanos) {
        Timer.builder("standlink.gateway.calls")
                .tag("queue", queue.name())
                .tag("kind", call.kind().name())
                .tag("status", Integer.toString(reply.status()))
                .publishPercentileHistogram()
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
        LOG.info("answered")
                .with("job", call.job())
                .with("kind", call.kind())
                .with("queue", queue.name())
                .with("version", current.version())
                .with("epoch", leader.getLeader().epoch())
                .with("status", reply.status())
                .with("state", reply.state())
                .with("reason", reply.reason())
                .with("retry-after-seconds", reply.retryAfterSeconds())
                .with("micros", nanos / 1000)
                .write();
    }
}
