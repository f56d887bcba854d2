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
import java.util.concurrent.CompletionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.election.LeaderLink;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.QueueQuery;
import org.standlink.wire.SubmitJob;

/**
 * Answers callers: finds the queue of a request, asks the leader and says truly what became of it.
 *
 * <p>{@code JobGateway} is thread-safe.
 */
public final class JobGateway {

    /**
     * How long a request waits for a leader to be reachable, in milliseconds, at its start and
     * after a lost connection. A new leader takes 500 to 2,000 after the loss of one; a caller that
     * is told to come back loses the second that it is told to wait, and callers wait for 3,000.
     */
    private static final long LEADER_WAIT_MILLIS = 1200;

    /**
     * How long the leader's answer to a look or a cancel is waited for, in milliseconds: both can
     * be repeated, and an append takes 10.
     */
    private static final long ANSWER_MILLIS = 1000;

    /**
     * How much of a caller's time is left for the way back of the answer, in milliseconds: links
     * take 20 at most.
     */
    private static final long WAY_BACK_MILLIS = 50;

    /**
     * How many requests may wait for a leader at once: half of the threads that answer callers, so
     * that the rest are told at once and nobody waits for a thread.
     */
    private static final int MOST_WAITING = 32;

    /** The pause between two tries to reach the leader, in milliseconds. */
    private static final long PAUSE_MILLIS = 50;

    /** The log. */
    private static final EventLog LOG = EventLog.of(JobGateway.class);

    /** The configuration in force. */
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.NONE);

    /** The leader. */
    private final LeaderLink leader;

    /** The clock. */
    private final MonotonicClock clock;

    /** Where histograms go. */
    private final MeterRegistry registry;

    /** Lets requests wait for a leader. */
    private final Semaphore mayWait;

    /**
     * Constructor.
     *
     * @param leader the leader
     * @param clock the clock
     * @param registry where histograms go
     */
    public JobGateway(LeaderLink leader, MonotonicClock clock, MeterRegistry registry) {
        this(leader, clock, registry, MOST_WAITING);
    }

    /**
     * Constructor.
     *
     * @param leader the leader
     * @param clock the clock
     * @param registry where histograms go
     * @param mostWaiting how many requests may wait for a leader at once
     */
    JobGateway(LeaderLink leader, MonotonicClock clock, MeterRegistry registry, int mostWaiting) {
        this.leader = leader;
        this.clock = clock;
        this.registry = registry;
        this.mayWait = new Semaphore(mostWaiting);
    }

    /**
     * Takes note of a configuration; an older one than the one in force is passed over.
     *
     * @param offered the configuration
     */
    public void offer(Configuration offered) {
        Configuration before = configuration.getAndUpdate(present -> newer(present, offered));
        if (offered.version() > before.version()) {
            LOG.info("configuration-in-force")
                    .with("version", offered.version())
                    .with("before", before.version())
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
     * Gets the longest body that the configuration in force allows.
     *
     * @return the limit in bytes, empty if there is none
     */
    public OptionalInt getMostBodyBytes() {
        int most = configuration.get().mostBodyBytes();
        return most > 0 ? OptionalInt.of(most) : OptionalInt.empty();
    }

    /**
     * Answers a caller.
     *
     * @param host the host that the caller named
     * @param path the path
     * @param reader reads the request once its queue is known
     * @return the answer
     */
    public JobReply answer(String host, String path, Function<QueueDefinition, JobCall> reader) {
        long start = System.nanoTime();
        Configuration present = configuration.get();
        if (present.version() == 0) {
            return JobReply.ofNotRun("there is no configuration yet");
        }
        Optional<QueueDefinition> queue = present.findQueue(host, path);
        if (queue.isEmpty()) {
            LOG.info("no-queue").with("path", path).with("version", present.version()).write();
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
        JobReply reply = ask(call, queue.get().name());
        record(call, queue.get(), present, reply, System.nanoTime() - start);
        return reply;
    }

    // -----------------------------------------------------------------------
    private static Configuration newer(Configuration present, Configuration offered) {
        return offered.version() > present.version() ? offered : present;
    }

    private JobReply ask(JobCall call, String queue) {
        Message question =
                switch (call.kind()) {
                    case SUBMIT -> new SubmitJob(call.definition());
                    case STATE -> new JobQuery(call.job(), queue);
                    case CANCEL -> new CancelJob(call.job(), queue);
                    case COUNT -> new QueueQuery(queue);
                };
        long start = clock.nowMillis();
        long end = start + Math.min(LEADER_WAIT_MILLIS, call.waitMillis());
        // Why it is not known whether the leader did what was asked, null if it surely did not.
        String unsure = null;
        String reason = "no leader is reachable";
        while (clock.nowMillis() <= end) {
            if (leader.isSilent()) {
                reason = "the leader does not answer";
                if (leader.isConnected() || !pause()) {
                    break;
                }
                continue;
            }
            long left = call.waitMillis() - (clock.nowMillis() - start);
            if (call.kind() == JobCall.Kind.SUBMIT && left <= WAY_BACK_MILLIS) {
                // Its caller would be gone before it could learn that the job is accepted.
                reason = "too little time is left to answer";
                break;
            }
            try {
                Message answer = leader.call(question, patience(call, left)).join();
                if (answer instanceof JobAnswer known) {
                    if (known.result() != JobAnswer.Result.UNKNOWN) {
                        boolean refused = known.result() == JobAnswer.Result.NOT_DONE;
                        // What was asked before may have been done.
                        return refused && unsure != null
                                ? notKnown(call, unsure)
                                : reply(call, known);
                    }
                    unsure = known.reason();
                    end = prolong(start, call);
                } else if (answer instanceof LeaderNotice notice) {
                    leader.offer(notice, "another process");
                    reason = "the leader has changed";
                }
            } catch (CompletionException failed) {
                reason = failed.getCause().getMessage();
                if (isConnectionLost(failed.getCause())) {
                    unsure = reason;
                    end = prolong(start, call);
                } else if (!isNothingSent(failed.getCause())) {
                    return notKnown(call, reason);
                }
            }
            if (!pause()) {
                break;
            }
        }
        return unsure == null ? JobReply.ofNotRun(reason) : notKnown(call, unsure);
    }

    /**
     * Tells how long an answer is worth waiting for. A submission is waited for as long as its
     * caller waits: nobody else can tell whether the store has kept it, and asking again would only
     * wait for the same append.
     */
    private static long patience(JobCall call, long left) {
        long most = call.kind() == JobCall.Kind.SUBMIT ? left - WAY_BACK_MILLIS : ANSWER_MILLIS;
        return Math.max(1, Math.min(left, most));
    }

    /** A job is known by its identifier, so it may be asked for again, at the next leader too. */
    private long prolong(long start, JobCall call) {
        return Math.min(clock.nowMillis() + LEADER_WAIT_MILLIS, start + call.waitMillis());
    }

    private static boolean isNothingSent(Throwable cause) {
        return hasCode(cause, ErrorCode.PEER_UNREACHABLE);
    }

    private static boolean isConnectionLost(Throwable cause) {
        return hasCode(cause, ErrorCode.CONNECTION_LOST);
    }

    private static boolean hasCode(Throwable cause, ErrorCode code) {
        return cause instanceof StandlinkException known && known.getCode() == code;
    }

    /** Waits a little, unless too many requests wait already. */
    private boolean pause() {
        if (!mayWait.tryAcquire()) {
            return false;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            return true;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            mayWait.release();
        }
    }

    /** A question without an answer: a mere look had no effect, anything else may have had. */
    private static JobReply notKnown(JobCall call, String cause) {
        String reason = "the leader's answer was lost: " + cause;
        return call.isLook() ? JobReply.ofNotRun(reason) : JobReply.of(504, reason);
    }

    private static JobReply reply(JobCall call, JobAnswer answer) {
        return switch (answer.result()) {
            case DONE -> {
                long waiting = call.kind() == JobCall.Kind.COUNT ? answer.waiting() : -1;
                yield new JobReply(200, answer.state(), waiting, "", 0);
            }
            case NO_SUCH_JOB -> JobReply.of(410, "there is no such job");
            case NOT_DONE -> JobReply.ofNotRun(answer.reason());
            case UNKNOWN -> JobReply.of(504, answer.reason());
        };
    }

    private void record(
            JobCall call,
            QueueDefinition queue,
            Configuration present,
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
                .with("version", present.version())
                .with("epoch", leader.getLeader().epoch())
                .with("status", reply.status())
                .with("state", reply.state())
                .with("reason", reply.reason())
                .with("micros", nanos / 1000)
                .write();
    }
}
