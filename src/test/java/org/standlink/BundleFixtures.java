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
package org.standlink;

import java.security.KeyPair;
import java.util.Base64;
import java.util.List;
import org.standlink.bundle.BundleSigner;
import org.standlink.bundle.SignedBundle;

/** Bundles for tests, and their signatures. */
public final class BundleFixtures {

    private static final KeyPair ANA_KEYS = BundleSigner.generateKeyPair();

    private static final KeyPair IVO_KEYS = BundleSigner.generateKeyPair();

    /** A job of four tasks with two cores each. */
    public static final String SCAN_JOB =
            "{'id':'scan','mode':'manage','team':'security','cell':'one','batchClass':'scan','tasks':4,"
                    + "'resources':{'cores':2,'memoryMegabytes':1000},'runSeconds':60,'checkpointable':true}";

    private BundleFixtures() {}

    /** Creates a bundle of 3 workers of 8 cores with one service that reserves 2 cores on each. */
    public static String bundle(long version, String jobs) {
        return bundle(version, jobs, "'vm-1','vm-2','vm-3'", "");
    }

    /** Creates a bundle with the given upstreams and additional top-level members. */
    public static String bundle(long version, String jobs, String upstreams, String extraMembers) {
        StringBuilder workers = new StringBuilder();
        for (int i = 1; i <= 3; i++) {
            workers.append(i > 1 ? "," : "")
                    .append("{'vm':'vm-")
                    .append(i)
                    .append("','address':'127.0.0.1:")
                    .append(7000 + i)
                    .append("','hall':'hall-")
                    .append(i)
                    .append("','rack':'rack-")
                    .append(i)
                    .append("','capacity':{'cores':8,'memoryMegabytes':16000}}");
        }
        return ("{'version':"
                        + version
                        + ",'base':"
                        + (version - 1)
                        + ",'services':[{'id':'registry','mode':'manage','pathPrefix':'/','upstreams':["
                        + upstreams
                        + "],"
                        + "'slots':2,'connections':8,'queue':2,'reserved':{'cores':2,'memoryMegabytes':1000},'keyWindowSeconds':10,"
                        + "'classes':[{'id':'pull','methods':['GET'],'repeatable':true},"
                        + "{'id':'push','methods':['POST'],'repeatable':false}]}],"
                        + "'jobs':["
                        + jobs
                        + "],'cells':[{'id':'one','workers':["
                        + workers
                        + "]}],"
                        + "'teams':[{'id':'security','quota':{'cores':100,'memoryMegabytes':100000}}]"
                        + extraMembers
                        + ","
                        + "'operators':[{'id':'ana','publicKey':'"
                        + publicKey(ANA_KEYS)
                        + "'},{'id':'ivo','publicKey':'"
                        + publicKey(IVO_KEYS)
                        + "'}]}")
                .replace('\'', '"');
    }

    /** Signs a bundle with the keys of two operators. */
    public static String signed(String bundle) {
        return text(
                new SignedBundle(bundle, OperatorId.parse("ana"), List.of())
                        .withSignature(
                                BundleSigner.sign(
                                        bundle, OperatorId.parse("ana"), privateKey(ANA_KEYS)))
                        .withSignature(
                                BundleSigner.sign(
                                        bundle, OperatorId.parse("ivo"), privateKey(IVO_KEYS))));
    }

    /** Signs a bundle with the key of its author only. */
    public static String signedByAuthor(String bundle) {
        return text(
                new SignedBundle(bundle, OperatorId.parse("ana"), List.of())
                        .withSignature(
                                BundleSigner.sign(
                                        bundle, OperatorId.parse("ana"), privateKey(ANA_KEYS))));
    }

    private static String text(SignedBundle signed) {
        try {
            return new com.fasterxml.jackson.databind.ObjectMapper().writeValueAsString(signed);
        } catch (com.fasterxml.jackson.core.JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static String publicKey(KeyPair keys) {
        return Base64.getEncoder().encodeToString(keys.getPublic().getEncoded());
    }

    private static String privateKey(KeyPair keys) {
        return Base64.getEncoder().encodeToString(keys.getPrivate().getEncoded());
    }
}
