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
 * Asks the leader one caller's question, again if need be, until there is an answer or the caller's
 * time is over, and says truly what became of it.
 *
 * <p>{@code LeaderRequest} is mutable and not thread-safe; each request has its own.
 */
final class LeaderRequest {

    /**
     * How long a request waits for a leader to be reachable, in milliseconds, at its start and
     * after it was left unsure. A new leader takes 500 to 2,000 after the loss of one; a caller
     * that is told to come back loses the second that it is told to wait, and callers wait for
     * 3,000.
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

    /** The pause between two tries to reach the leader, in milliseconds. */
    private static final long PAUSE_MILLIS = 50;

    /** The leader. */
    private final LeaderLink leader;

    /** The clock. */
    private final MonotonicClock clock;

    /** Lets requests wait for a leader. */
    private final Semaphore mayWait;

    /** The caller's request. */
    private final JobCall call;

    /** What the leader is asked. */
    private final Message question;

    /** When the caller's time is over, on the clock. */
    private final long deadline;

    /** When no further try is made, on the clock. */
    private long end;

    /** Whether the leader may have done what was asked. */
    private boolean maybeDone;

    /** Why there is no answer yet. */
    private String reason = "no leader is reachable";

    /**
     * Constructor.
     *
     * @param leader the leader
     * @param clock the clock
     * @param mayWait lets requests wait for a leader
     * @param call the caller's request
     * @param queue the name of its queue
     */
    LeaderRequest(
            LeaderLink leader,
            MonotonicClock clock,
            Semaphore mayWait,
            JobCall call,
            String queue) {
        this.leader = leader;
        this.clock = clock;
        this.mayWait = mayWait;
        this.call = call;
        this.question = questionOf(call, queue);
        this.deadline = clock.nowMillis() + call.waitMillis();
        prolong();
    }

    private static Message questionOf(JobCall call, String queue) {
        return switch (call.kind()) {
            case SUBMIT -> new SubmitJob(call.definition());
            case STATE -> new JobQuery(call.job(), queue);
            case CANCEL -> new CancelJob(call.job(), queue);
            case COUNT -> new QueueQuery(queue);
        };
    }

    /**
     * Asks until there is an answer or no time is left.
     *
     * @return what the caller is to be told
     */
    JobReply run() {
        while (clock.nowMillis() <= end && isInTime()) {
            if (leader.isUnresponsive()) {
                note("the leader does not answer");
                if (leader.isConnected()) {
                    break;
                }
            } else {
                JobReply reply = askOnce();
                if (reply != null) {
                    return reply;
                }
            }
            if (!pause()) {
                break;
            }
        }
        return maybeDone ? notKnown() : JobReply.ofNotRun(reason);
    }

    // -----------------------------------------------------------------------
    /** A caller that is about to leave could not learn that its job is accepted. */
    private boolean isInTime() {
        boolean inTime = call.kind() != JobCall.Kind.SUBMIT || left() > WAY_BACK_MILLIS;
        if (!inTime && !maybeDone) {
            reason = "too little time is left to answer";
        }
        return inTime;
    }

    private long left() {
        return deadline - clock.nowMillis();
    }

    /** Asks once; there is no reply if it is worth asking again. */
    private JobReply askOnce() {
        try {
            Message answer = leader.call(question, patience()).join();
            return answer instanceof JobAnswer known ? answered(known) : sentOn(answer);
        } catch (CompletionException failed) {
            return failed(failed.getCause());
        }
    }

    /**
     * Tells how long an answer is worth waiting for. A submission is waited for as long as its
     * caller waits: nobody else can tell whether the store has kept it, and asking again would only
     * wait for the same append.
     */
    private long patience() {
        boolean submits = call.kind() == JobCall.Kind.SUBMIT;
        long most = submits ? left() - WAY_BACK_MILLIS : Math.min(left(), ANSWER_MILLIS);
        return Math.max(1, most);
    }

    private JobReply answered(JobAnswer answer) {
        if (answer.result() == JobAnswer.Result.UNKNOWN) {
            unsure(answer.reason());
            return null;
        }
        if (answer.result() == JobAnswer.Result.FAILED) {
            unsure(answer.reason());
            return notKnown();
        }
        boolean refused = answer.result() == JobAnswer.Result.NOT_DONE;
        // A refusal speaks for this try alone; an earlier one may have been done.
        return refused && maybeDone ? notKnown() : JobReply.of(call, answer);
    }

    private JobReply sentOn(Message answer) {
        if (answer instanceof LeaderNotice notice) {
            leader.offer(notice, "another process");
            note("the leader has changed");
        }
        return null;
    }

    private JobReply failed(Throwable cause) {
        if (hasCode(cause, ErrorCode.PEER_UNREACHABLE)) {
            note(cause.getMessage());
            return null;
        }
        unsure(cause.getMessage() == null ? cause.toString() : cause.getMessage());
        return hasCode(cause, ErrorCode.CONNECTION_LOST) ? null : notKnown();
    }

    private static boolean hasCode(Throwable cause, ErrorCode code) {
        return cause instanceof StandlinkException known && known.getCode() == code;
    }

    /** A job is known by its identifier, so it may be asked for again, at the next leader too. */
    private void unsure(String why) {
        maybeDone = true;
        reason = why;
        prolong();
    }

    /** Keeps why there is no answer, unless it is why nobody knows what was done. */
    private void note(String why) {
        reason = maybeDone ? reason : why;
    }

    private void prolong() {
        end = Math.min(clock.nowMillis() + LEADER_WAIT_MILLIS, deadline);
    }

    /** A question without an answer: a mere look had no effect, anything else may have had. */
    private JobReply notKnown() {
        String told = "the leader's answer was lost: " + reason;
        return call.isReadOnly() ? JobReply.ofNotRun(told) : JobReply.of(504, told);
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
}
