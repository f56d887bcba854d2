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
package org.standlink.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the selection of the queue of a request. */
public class TestConfiguration {

    private static QueueDefinition queue(String name, String host, String prefix) {
        return new QueueDefinition(name, host, prefix, "s", 0, 1, 100, 1, false);
    }

    private final Configuration configuration =
            new Configuration(
                    3,
                    List.of(
                            queue("short", "h", "/a/"),
                            queue("long", "h", "/a/b/"),
                            queue("other", "i", "/a/")),
                    List.of(),
                    100);

    @Test
    public void theLongestPrefixWins() {
        assertEquals("long", configuration.findQueue("h", "/a/b/1").orElseThrow().name());
        assertEquals("short", configuration.findQueue("h:80", "/a/1").orElseThrow().name());
        assertEquals("other", configuration.findQueue("i", "/a/b/1").orElseThrow().name());
    }

    @Test
    public void unknownHostOrPathHasNoQueue() {
        assertTrue(configuration.findQueue("x", "/a/1").isEmpty());
        assertTrue(configuration.findQueue("h", "/b/1").isEmpty());
        assertTrue(configuration.findQueue(null, "/a/1").isEmpty());
    }
}
