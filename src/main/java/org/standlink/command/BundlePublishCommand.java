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

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.standlink.BundleVersion;
import org.standlink.log.BundlePublisher;

/** {@code standlink bundle publish}: publishes a signed bundle and waits for the decision. */
final class BundlePublishCommand implements Command {

    @Argument(required = true, metaVar = "FILE", usage = "the signed bundle")
    private Path file;

    @Option(name = "--platform", required = true, metaVar = "URL", usage = "http://host:port")
    private String platform;

    @Override
    public int run() {
        BundlePublisher publisher = new BundlePublisher(PlatformAccess.openLog(platform));
        BundleVersion version = publisher.publish(TextFiles.read(file));
        System.out.println("bundle " + version + " is accepted");
        return 0;
    }
}
