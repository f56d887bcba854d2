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

import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.RunFormat;
import org.standlink.pack.PackOutput;
import org.standlink.policy.EstimateFormat;

/**
 * Encodes the messages that processes on the users' platform exchange, without data binding, to the
 * same bytes.
 *
 * <p>{@code MessageWriter} is thread-safe and immutable.
 */
final class MessageWriter {

    private MessageWriter() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the encoded bytes, or null if data binding has to encode this type of message
     */
    static byte[] encode(Frame frame) {
        PackOutput output = new PackOutput();
        output.map(3).text("call").number(frame.call()).text("answer").flag(frame.answer());
        output.text("message");
        MessageFields fields = fieldsOf(output, frame.message());
        if (fields == null) {
            return null;
        }
        fields.write();
        return output.toBytes();
    }

    private static MessageFields fieldsOf(PackOutput output, Message message) {
        if (message instanceof AgentReport report) {
            MessageFields fields = new MessageFields(output, "14");
            ReportFormat.write(fields, report);
            return fields;
        }
        if (message instanceof AgentGrant grant) {
            return new MessageFields(output, "15")
                    .sequence("epoch", grant.epoch())
                    .sequence("generation", grant.generation())
                    .number("leaseMillis", grant.leaseMillis())
                    .number("storeSilentMillis", grant.storeSilentMillis())
                    .list("harm", grant.harm(), EstimateFormat.ESTIMATE);
        }
        if (message instanceof RunOrders orders) {
            return new MessageFields(output, "16")
                    .sequence("epoch", orders.epoch())
                    .sequence("generation", orders.generation())
                    .text("worker", orders.worker())
                    .list("starts", orders.starts(), StartOrderFormat.START)
                    .list("stops", orders.stops(), RunFormat.RUN)
                    .number("recordedEnd", orders.recordedEnd());
        }
        return fieldsOfJobCall(output, message);
    }

    private static MessageFields fieldsOfJobCall(PackOutput output, Message message) {
        if (message instanceof SubmitJob submission) {
            return new MessageFields(output, "18")
                    .value("job", submission.job(), JobDefinitionFormat.JOB);
        }
        if (message instanceof CancelJob cancellation) {
            return new MessageFields(output, "19")
                    .text("job", cancellation.job())
                    .text("queue", cancellation.queue());
        }
        if (message instanceof JobQuery query) {
            return new MessageFields(output, "20")
                    .text("job", query.job())
                    .text("queue", query.queue());
        }
        if (message instanceof QueueQuery query) {
            return new MessageFields(output, "21").text("queue", query.queue());
        }
        if (message instanceof JobAnswer answer) {
            return new MessageFields(output, "22")
                    .text("result", answer.result())
                    .text("state", answer.state())
                    .number("waiting", answer.waiting())
                    .text("reason", answer.reason())
                    .number("retryAfterSeconds", answer.retryAfterSeconds());
        }
        return fieldsOfConnection(output, message);
    }

    private static MessageFields fieldsOfConnection(PackOutput output, Message message) {
        if (message instanceof KeepAlive) {
            return new MessageFields(output, "23");
        }
        if (message instanceof Leaving) {
            return new MessageFields(output, "24");
        }
        if (message instanceof Hello hello) {
            return new MessageFields(output, "1")
                    .text("vm", hello.vm())
                    .incarnation("incarnation", hello.incarnation());
        }
        if (message instanceof LeaderNotice notice) {
            return new MessageFields(output, "17")
                    .sequence("epoch", notice.epoch())
                    .text("address", notice.address());
        }
        return null;
    }
}
