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

import java.util.List;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.LeaseGeneration;
import org.standlink.VmId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.JobState;
import org.standlink.job.RunFormat;
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.pack.PackInput;
import org.standlink.pack.SequenceFormat;
import org.standlink.policy.EstimateFormat;
import org.standlink.policy.InterferenceTable;

/**
 * Decodes the messages that processes on the users' platform exchange, without data binding. Keys
 * that are not known are skipped.
 *
 * <p>{@code MessageReader} is thread-safe and immutable.
 */
final class MessageReader {

    private MessageReader() {}

    /**
     * Decodes a frame.
     *
     * @param bytes the encoded bytes
     * @return the frame, or null if data binding has to decode this type of message
     * @throws RuntimeException if the bytes have another shape than {@link MessageWriter} writes
     */
    static Frame decode(byte[] bytes) {
        PackInput input = new PackInput(bytes);
        long call = 0;
        boolean answer = false;
        Message message = null;
        for (int remaining = input.map(); remaining > 0; remaining--) {
            switch (input.text()) {
                case "call" -> call = input.number();
                case "answer" -> answer = input.flag();
                case "message" -> {
                    message = readMessage(input);
                    if (message == null) {
                        return null;
                    }
                }
                default -> input.skip();
            }
        }
        return message == null ? null : new Frame(call, answer, message);
    }

    // -----------------------------------------------------------------------
    private static Message readMessage(PackInput input) {
        int size = input.map() - 1;
        if (size < 0 || !MessageFields.TYPE_KEY.equals(input.text())) {
            return null;
        }
        String type = input.text();
        return switch (type) {
            case "1" -> readHello(input, size);
            case "14" -> ReportFormat.read(input, size);
            case "15" -> readGrant(input, size);
            case "16" -> readOrders(input, size);
            case "17" -> readNotice(input, size);
            case "18" -> readSubmission(input, size);
            case "19", "20", "21" -> readJobCall(type, input, size);
            case "22" -> readAnswer(input, size);
            case "23" -> skipFields(input, size, new KeepAlive());
            case "24" -> skipFields(input, size, new Leaving());
            default -> null;
        };
    }

    private static Message skipFields(PackInput input, int size, Message message) {
        for (int i = 0; i < size; i++) {
            input.skip();
            input.skip();
        }
        return message;
    }

    private static Message readHello(PackInput input, int size) {
        VmId vm = null;
        Incarnation incarnation = null;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "vm" -> vm = parseVmId(input.text());
                case "incarnation" -> incarnation = SequenceFormat.INCARNATION.read(input);
                default -> input.skip();
            }
        }
        return new Hello(vm, incarnation);
    }

    private static Message readNotice(PackInput input, int size) {
        Epoch epoch = null;
        String address = null;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "epoch" -> epoch = SequenceFormat.EPOCH.read(input);
                case "address" -> address = input.text();
                default -> input.skip();
            }
        }
        return new LeaderNotice(epoch, address);
    }

    private static Message readGrant(PackInput input, int size) {
        Epoch epoch = null;
        LeaseGeneration generation = null;
        long leaseMillis = 0;
        long storeSilentMillis = 0;
        List<InterferenceTable.Entry> harm = null;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "epoch" -> epoch = SequenceFormat.EPOCH.read(input);
                case "generation" -> generation = SequenceFormat.GENERATION.read(input);
                case "leaseMillis" -> leaseMillis = input.number();
                case "storeSilentMillis" -> storeSilentMillis = input.number();
                case "harm" -> harm = input.list(EstimateFormat.ESTIMATE);
                default -> input.skip();
            }
        }
        return new AgentGrant(epoch, generation, leaseMillis, storeSilentMillis, harm);
    }

    private static Message readOrders(PackInput input, int size) {
        Epoch epoch = null;
        LeaseGeneration generation = null;
        WorkerIncarnation worker = null;
        List<StartOrder> starts = null;
        List<RunId> stops = null;
        long recordedEnd = 0;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "epoch" -> epoch = SequenceFormat.EPOCH.read(input);
                case "generation" -> generation = SequenceFormat.GENERATION.read(input);
                case "worker" -> worker = RunFormat.INCARNATION.read(input);
                case "starts" -> starts = input.list(StartOrderFormat.START);
                case "stops" -> stops = input.list(RunFormat.RUN);
                case "recordedEnd" -> recordedEnd = input.number();
                default -> input.skip();
            }
        }
        return new RunOrders(epoch, generation, worker, starts, stops, recordedEnd);
    }

    private static Message readSubmission(PackInput input, int size) {
        JobDefinition job = null;
        for (int i = 0; i < size; i++) {
            if ("job".equals(input.text())) {
                job = JobDefinitionFormat.JOB.read(input);
            } else {
                input.skip();
            }
        }
        return new SubmitJob(job);
    }

    private static Message readJobCall(String type, PackInput input, int size) {
        JobId job = null;
        String queue = null;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "job" -> job = parseJobId(input.text());
                case "queue" -> queue = input.text();
                default -> input.skip();
            }
        }
        return switch (type) {
            case "19" -> new CancelJob(job, queue);
            case "20" -> new JobQuery(job, queue);
            default -> new QueueQuery(queue);
        };
    }

    private static Message readAnswer(PackInput input, int size) {
        JobAnswer.Result result = null;
        JobState state = null;
        long waiting = 0;
        String reason = null;
        long retryAfterSeconds = 0;
        for (int i = 0; i < size; i++) {
            switch (input.text()) {
                case "result" -> result = parseResult(input.text());
                case "state" -> state = parseState(input.text());
                case "waiting" -> waiting = input.number();
                case "reason" -> reason = input.text();
                case "retryAfterSeconds" -> retryAfterSeconds = input.number();
                default -> input.skip();
            }
        }
        return new JobAnswer(result, state, waiting, reason, retryAfterSeconds);
    }

    private static VmId parseVmId(String text) {
        return text == null ? null : VmId.parse(text);
    }

    private static JobId parseJobId(String text) {
        return text == null ? null : JobId.parse(text);
    }

    private static JobAnswer.Result parseResult(String text) {
        return text == null ? null : JobAnswer.Result.valueOf(text);
    }

    private static JobState parseState(String text) {
        return text == null ? null : JobState.valueOf(text);
    }
}
