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
package org.standlink.command;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** {@code standlink stand-in ports}: prints ports that are currently free. */
final class StandInPortsCommand implements Command {

    @Option(name = "--count", metaVar = "N", usage = "number of ports (default: 1)")
    private int count = 1;

    @Override
    public int run() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
        }
        for (ServerSocket socket : sockets) {
            System.out.println(socket.getLocalPort());
            socket.close();
        }
        return 0;
    }
}
