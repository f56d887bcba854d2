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
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleReader;

/** {@code standlink bundle check}: checks a bundle file without a running system. */
final class BundleCheckCommand implements Command {

    @Argument(required = true, metaVar = "FILE", usage = "the bundle, JSON")
    private Path file;

    @Override
    public int run() {
        Bundle bundle = BundleReader.read(TextFiles.read(file));
        System.out.printf(
                "bundle %s on base %s is valid: %d services, %d jobs, %d cells%n",
                bundle.version(),
                bundle.base(),
                bundle.services().size(),
                bundle.jobs().size(),
                bundle.cells().size());
        return 0;
    }
}
