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
import org.kohsuke.args4j.Option;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.bundle.SignedBundle;
import org.standlink.log.LogFollower;

/** {@code standlink bundle status}: shows the bundle in force, according to the log. */
final class BundleStatusCommand implements Command {

    @Option(name = "--platform", required = true, metaVar = "URL", usage = "http://host:port")
    private String platform;

    @Option(name = "--out", metaVar = "FILE", usage = "write the bundle in force to this file")
    private Path out;

    @Override
    public int run() {
        LogFollower follower =
                new LogFollower(PlatformAccess.openLog(platform), this::printDecision);
        follower.poll();
        boolean known = follower.read(fold -> fold.isBundleKnown());
        if (!known) {
            throw new StandlinkException(
                    ErrorCode.LOG_GAP,
                    "the log no longer retains the bundle and contains no snapshot of it",
                    "query /v1/bundle of an entry's admin API");
        }
        System.out.println(
                "bundle " + follower.read(fold -> fold.getBundles().getVersion()) + " is in force");
        String signed = follower.read(fold -> fold.getBundles().getSignedText());
        if (out != null && signed != null) {
            TextFiles.write(out, SignedBundle.read(signed).bundle());
        }
        return 0;
    }

    private void printDecision(String record, StandlinkException refusal) {
        String decision = refusal == null ? "accepted" : "refused: " + refusal.getMessage();
        System.out.println("record " + record + " " + decision);
    }
}
