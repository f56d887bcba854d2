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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.standlink.OperatorId;
import org.standlink.bundle.BundleReader;
import org.standlink.bundle.BundleSigner;
import org.standlink.bundle.SignedBundle;

/**
 * {@code standlink bundle sign}: signs a bundle file as its author, or adds another operator's
 * signature to a signed file.
 */
final class BundleSignCommand implements Command {

    @Argument(required = true, metaVar = "FILE", usage = "a bundle, or a signed bundle")
    private Path file;

    @Option(name = "--operator", required = true, metaVar = "ID", usage = "the operator who signs")
    private String operator;

    @Option(name = "--key", required = true, metaVar = "FILE", usage = "the private key")
    private Path key;

    @Option(name = "--out", required = true, metaVar = "FILE", usage = "the signed bundle")
    private Path out;

    @Override
    public int run() throws JsonProcessingException {
        String text = TextFiles.read(file);
        OperatorId id = OperatorId.parse(operator);
        SignedBundle signed = isSigned(text) ? SignedBundle.read(text) : null;
        String bundle = signed == null ? text : signed.bundle();
        BundleReader.read(bundle);
        SignedBundle before = signed == null ? new SignedBundle(bundle, id, List.of()) : signed;
        SignedBundle after =
                before.withSignature(BundleSigner.sign(bundle, id, TextFiles.read(key)));
        TextFiles.write(out, new ObjectMapper().writeValueAsString(after));
        System.out.printf("signed by %s; %d signatures%n", id, after.signatures().size());
        return 0;
    }

    private static boolean isSigned(String text) {
        return text.contains("\"signatures\"");
    }
}
