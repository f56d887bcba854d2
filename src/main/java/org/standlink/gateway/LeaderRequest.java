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

import java.util.concurrent.CompletionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.election.LeaderLink;
import org.standlink.lease.MonotonicClock;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.QueueQuery;
import org.standlink.wire.SubmitJob;

/**
 * Sends one caller's request to the leader, again if necessary, until there is an answer or the
 * caller's deadline has passed, and reports the outcome. A request that may have been executed is
 * never reported as not executed.
 *
 * <p>{@code LeaderRequest} is mutable and not thread-safe; each request has its own.
 */
final class LeaderRequest {

    /**
     * How long a request waits for a reachable leader, in milliseconds, at its start and after each
     * attempt with an unknown outcome. A new leader takes 500 to 2,000 ms after the loss of one. A
     * caller that has to retry loses the second after which it may do so, and callers wait for
     * 3,000 ms.
     */
    private static final long LEADER_WAIT_MILLIS = 1200;

    /**
     * How long to wait for the leader's answer to a query or a cancellation, in milliseconds: both
     * can be repeated, and an append takes 10 ms.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 1000;

    /**
     * How much of a caller's time is reserved for the transmission of the answer, in milliseconds:
     * links take 20 ms at most.
     */
    private static final long ANSWER_TRANSMISSION_MILLIS = 50;

    /** The pause between two attempts to reach the leader, in milliseconds. */
    private static final long RETRY_PAUSE_MILLIS = 50;

    private final LeaderLink leader;
    private final MonotonicClock clock;

    /** Permits for requests to wait for a leader. */
    private final Semaphore waitPermits;

    private final JobCall call;

    /** The message to the leader. */
    private final Message message;

    /** When the caller stops waiting, in milliseconds on the clock. */
    private final long deadlineMillis;

    /** When the last attempt may begin, in milliseconds on the clock. */
    private long lastAttemptMillis;

    /** Whether the leader may have executed the request. */
    private boolean possiblyExecuted;

    /** Why there is no answer yet. */
    private String reason = "no leader is reachable";

    LeaderRequest(
            LeaderLink leader,
            MonotonicClock clock,
            Semaphore waitPermits,
            JobCall call,
            String queue) {
        this.leader = leader;
        this.clock = clock;
        this.waitPermits = waitPermits;
        this.call = call;
        this.message = createMessage(call, queue);
        this.deadlineMillis = clock.nowMillis() + call.waitMillis();
        extendAttempts();
    }

    private static Message createMessage(JobCall call, String queue) {
        return switch (call.kind()) {
            case SUBMIT -> new SubmitJob(call.definition());
            case STATE -> new JobQuery(call.job(), queue);
            case CANCEL -> new CancelJob(call.job(), queue);
            case COUNT -> new QueueQuery(queue);
        };
    }

    /**
     * Sends the request until there is an answer or no time is left.
     *
     * @return the answer to the caller
     */
    JobReply run() {
        while (clock.nowMillis() <= lastAttemptMillis && isAnswerInTime()) {
            if (leader.isUnresponsive()) {
                setReason("the leader does not answer");
                if (leader.isConnected()) {
                    break;
                }
            } else {
                JobReply reply = sendOnce();
                if (reply != null) {
                    return reply;
                }
            }
            if (!pause()) {
                break;
            }
        }
        return possiblyExecuted ? createLostAnswerReply() : JobReply.ofNotRun(reason);
    }

    // -----------------------------------------------------------------------
    /** Checks whether the caller waits long enough to learn that its job was accepted. */
    private boolean isAnswerInTime() {
        boolean inTime =
                call.kind() != JobCall.Kind.SUBMIT
                        || getRemainingMillis() > ANSWER_TRANSMISSION_MILLIS;
        if (!inTime && !possiblyExecuted) {
            reason = "too little time is left to answer";
        }
        return inTime;
    }

    private long getRemainingMillis() {
        return deadlineMillis - clock.nowMillis();
    }

    /** Sends the request once; returns null if it is to be sent again. */
    private JobReply sendOnce() {
        try {
            Message answer = leader.call(message, getAnswerTimeoutMillis()).join();
            return answer instanceof JobAnswer jobAnswer
                    ? handleAnswer(jobAnswer)
                    : handleRedirect(answer);
        } catch (CompletionException exception) {
            return handleFailure(exception.getCause());
        }
    }

    /**
     * Gets how long to wait for an answer. The answer to a submission is waited for as long as the
     * caller waits: only that leader knows whether the store has persisted the job, and a repeated
     * submission would only wait for the same append.
     */
    private long getAnswerTimeoutMillis() {
        boolean isSubmission = call.kind() == JobCall.Kind.SUBMIT;
        long maxMillis =
                isSubmission
                        ? getRemainingMillis() - ANSWER_TRANSMISSION_MILLIS
                        : Math.min(getRemainingMillis(), ANSWER_TIMEOUT_MILLIS);
        return Math.max(1, maxMillis);
    }

    private JobReply handleAnswer(JobAnswer answer) {
        if (answer.result() == JobAnswer.Result.UNKNOWN) {
            markOutcomeUnknown(answer.reason());
            return null;
        }
        if (answer.result() == JobAnswer.Result.FAILED) {
            markOutcomeUnknown(answer.reason());
            return createLostAnswerReply();
        }
        boolean refused = answer.result() == JobAnswer.Result.NOT_DONE;
        // The refusal applies to this attempt only; an earlier one may have been executed.
        return refused && possiblyExecuted ? createLostAnswerReply() : JobReply.of(call, answer);
    }

    private JobReply handleRedirect(Message answer) {
        if (answer instanceof LeaderNotice notice) {
            leader.offer(notice, "another process");
            setReason("the leader has changed");
        }
        return null;
    }

    private JobReply handleFailure(Throwable cause) {
        if (hasCode(cause, ErrorCode.PEER_UNREACHABLE)) {
            setReason(cause.getMessage());
            return null;
        }
        markOutcomeUnknown(cause.getMessage() == null ? cause.toString() : cause.getMessage());
        return hasCode(cause, ErrorCode.CONNECTION_LOST) ? null : createLostAnswerReply();
    }

    private static boolean hasCode(Throwable cause, ErrorCode code) {
        return cause instanceof StandlinkException exception && exception.getCode() == code;
    }

    /** Permits further attempts, also at the next leader, since a job has a unique identifier. */
    private void markOutcomeUnknown(String newReason) {
        possiblyExecuted = true;
        reason = newReason;
        extendAttempts();
    }

    /** Sets why there is no answer, unless the reason is why the outcome is unknown. */
    private void setReason(String newReason) {
        reason = possiblyExecuted ? reason : newReason;
    }

    private void extendAttempts() {
        lastAttemptMillis = Math.min(clock.nowMillis() + LEADER_WAIT_MILLIS, deadlineMillis);
    }

    /** Creates the answer if the leader's is lost: only a read-only request had no effect. */
    private JobReply createLostAnswerReply() {
        String text = "the leader's answer was lost: " + reason;
        return call.isReadOnly() ? JobReply.ofNotRun(text) : JobReply.of(504, text);
    }

    /** Pauses before the next attempt; returns false if too many requests are waiting already. */
    private boolean pause() {
        if (!waitPermits.tryAcquire()) {
            return false;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            waitPermits.release();
        }
    }
}
