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

/** The leader's side of a connection, which notes what goes over it or loses it. */
final class FakeChannel implements MessageChannel {

    /** What becomes of messages. */
    enum Mode {
        /** They arrive. */
        OPEN,
        /** They are lost, and the sender does not learn of it. */
        SILENT,
        /** The sender is told that the connection is lost. */
        CLOSED
    }

    private final List<RunOrders> orders = new ArrayList<>();
    private final Map<Long, Message> answers = new LinkedHashMap<>();
    private Mode mode = Mode.OPEN;

    /** Sets what becomes of messages from now on. */
    void setMode(Mode next) {
        mode = next;
    }

    /** Forgets the orders that have arrived. */
    void clear() {
        orders.clear();
    }

    /** Lists the runs that were ordered to start, in the order in which this arrived. */
    List<RunId> starts() {
        return orders.stream()
                .flatMap(one -> one.starts().stream())
                .map(start -> start.run())
                .toList();
    }

    /** Lists the runs that were ordered to stop, in the order in which this arrived. */
    List<RunId> stops() {
        return orders.stream().flatMap(one -> one.stops().stream()).toList();
    }

    /** Gets the greatest number up to which ends were told to be recorded, 0 if none were. */
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
