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
import java.security.KeyPair;
import java.util.Base64;
import org.kohsuke.args4j.Option;
import org.standlink.OperatorId;
import org.standlink.bundle.BundleSigner;

/** {@code standlink keys}: generates an operator's key pair. */
final class KeysCommand implements Command {

    @Option(name = "--operator", required = true, metaVar = "ID", usage = "the operator's id")
    private String operator;

    @Option(name = "--out", metaVar = "FOLDER", usage = "folder for the two files (default: .)")
    private Path folder = Path.of(".");

    @Override
    public int run() {
        OperatorId id = OperatorId.parse(operator);
        KeyPair keys = BundleSigner.generateKeyPair();
        Base64.Encoder base64 = Base64.getEncoder();
        String publicKey = base64.encodeToString(keys.getPublic().getEncoded());
        String privateKey = base64.encodeToString(keys.getPrivate().getEncoded());
        TextFiles.write(folder.resolve(id + ".key"), privateKey + "\n");
        TextFiles.write(folder.resolve(id + ".pub"), publicKey + "\n");
        System.out.println(publicKey);
        return 0;
    }
}
