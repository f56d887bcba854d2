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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.job.RunId;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.RunOrders;

/** A fake of the leader's side of a connection, which records messages or drops them. */
final class FakeChannel implements MessageChannel {

    /** How messages are handled. */
    enum Mode {
        /** Messages arrive. */
        OPEN,
        /** Messages are dropped without an error at the sender. */
        SILENT,
        /** Sending fails since the connection is lost. */
        CLOSED
    }

    private final List<RunOrders> orders = new ArrayList<>();
    private final Map<Long, Message> answers = new LinkedHashMap<>();
    private Mode mode = Mode.OPEN;

    /** Sets how messages are handled from now on. */
    void setMode(Mode next) {
        mode = next;
    }

    /** Removes the recorded orders. */
    void clear() {
        orders.clear();
    }

    /** Lists the runs that were ordered to start, in order of arrival. */
    List<RunId> starts() {
        return orders.stream()
                .flatMap(order -> order.starts().stream())
                .map(start -> start.run())
                .toList();
    }

    /** Lists the runs that were ordered to stop, in order of arrival. */
    List<RunId> stops() {
        return orders.stream().flatMap(order -> order.stops().stream()).toList();
    }

    /** Gets the highest number up to which ends were acknowledged as recorded, 0 if none were. */
    long greatestRecordedEnd() {
        return orders.stream().mapToLong(RunOrders::recordedEnd).max().orElse(0);
    }

    /** Finds the answer to a call, null if none has arrived. */
    Message findAnswer(long call) {
        return answers.get(call);
    }

    @Override
    public void send(Message message) {
        if (mode == Mode.CLOSED) {
            throw new StandlinkException(
                    ErrorCode.CONNECTION_LOST, "the fake channel", "see the test");
        }
        if (mode == Mode.OPEN && message instanceof RunOrders order) {
            orders.add(order);
        }
    }

    @Override
    public void answer(long call, Message message) {
        if (mode == Mode.OPEN) {
            answers.put(call, message);
        }
    }
}
