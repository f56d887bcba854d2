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
package org.standlink.port;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryVmList;
import org.standlink.standin.StandInHttpServices;

/**
 * Tests the contract of the VM list, for the list in memory and for the HTTP adapter in front of
 * it.
 */
public class TestVmListContract {

    private static final VmEntry STAYING = new VmEntry(VmId.parse("vm-1"), "127.0.0.1:7001", false);

    private static final VmEntry LEAVING = new VmEntry(VmId.parse("vm-1"), "127.0.0.1:7001", true);

    private final FakeClock clock = new FakeClock();

    private final MemoryVmList memory = new MemoryVmList(clock, 2000);

    private final ExecutorService executor = ProcessThreads.newCached("test");

    private HttpService service;

    private enum Kind {
        MEMORY,
        HTTP
    }

    private VmListPort list(Kind kind) {
        if (kind == Kind.MEMORY) {
            return memory;
        }
        service =
                StandInHttpServices.servePlatform(
                        new InetSocketAddress("127.0.0.1", 0),
                        executor,
                        new MemoryLog(clock, 1, 1),
                        memory);
        URI uri = URI.create("http://127.0.0.1:" + service.getPort());
        return new HttpVmList(new JsonHttpClient(uri, JsonHttpClient.newClient(executor)));
    }

    @AfterEach
    void close() {
        if (service != null) {
            service.close();
        }
        executor.shutdownNow();
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void returnsChangesAfterTheLag(Kind kind) {
        VmListPort list = list(kind);
        memory.put(STAYING);
        assertEquals(List.of(), list.list());
        clock.advance(2000);
        assertEquals(List.of(STAYING), list.list());
        memory.put(LEAVING);
        clock.advance(1999);
        assertEquals(List.of(STAYING), list.list());
        clock.advance(1);
        assertEquals(List.of(LEAVING), list.list());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void reportsUnavailableWhileDown(Kind kind) {
        VmListPort list = list(kind);
        memory.setDown(true);
        StandlinkException failure = assertThrows(StandlinkException.class, list::list);
        assertEquals(ErrorCode.PLATFORM_UNAVAILABLE, failure.getCode());
    }
}
