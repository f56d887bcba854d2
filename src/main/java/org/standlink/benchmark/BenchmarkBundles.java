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
package org.standlink.benchmark;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.security.KeyPair;
import java.util.Base64;
import java.util.List;
import org.standlink.OperatorId;
import org.standlink.bundle.BundleSigner;
import org.standlink.bundle.SignedBundle;

/**
 * Creates signed bundles for benchmarks.
 *
 * <p>{@code BenchmarkBundles} is thread-safe and immutable.
 */
final class BenchmarkBundles {

    private BenchmarkBundles() {}

    /**
     * Creates a bundle of one cell that is filled by one job of one-core tasks.
     *
     * @param workers the number of workers
     * @param tasks the number of tasks on each worker, which is also its number of cores
     * @return the signed text
     */
    static String createFullCell(int workers, int tasks) {
        StringBuilder text = new StringBuilder("\"jobs\":[{\"id\":\"scan\",");
        text.append("\"mode\":\"manage\",\"team\":\"t\",\"cell\":\"one\",\"tasks\":")
                .append(workers * tasks)
                .append(",\"resources\":{\"cores\":1,\"memoryMegabytes\":10}}],")
                .append("\"cells\":[{\"id\":\"one\",\"workers\":[");
        for (int i = 0; i < workers; i++) {
            text.append(i == 0 ? "" : ",").append(createWorker("vm-" + i, "10.0.0.1:7100", tasks));
        }
        return createSigned(text.append("]}]").toString());
    }

    /**
     * Creates a bundle of one worker with one service.
     *
     * @param address the address of the agent
     * @return the signed text
     */
    static String createSingleService(String address) {
        return createSigned(
                "\"services\":[{\"id\":\"s\",\"mode\":\"manage\",\"pathPrefix\":\"/\","
                        + "\"upstreams\":[\"vm-1\"],\"classes\":[{\"id\":\"push\","
                        + "\"methods\":[\"POST\"]}]}],\"cells\":[{\"id\":\"one\",\"workers\":["
                        + createWorker("vm-1", address, 8)
                        + "]}]");
    }

    private static String createWorker(String vm, String address, int cores) {
        return "{\"vm\":\""
                + vm
                + "\",\"address\":\""
                + address
                + "\",\"hall\":\"h\","
                + "\"rack\":\"r\",\"capacity\":{\"cores\":"
                + cores
                + ",\"memoryMegabytes\":125000}}";
    }

    private static String createSigned(String parts) {
        KeyPair first = BundleSigner.generateKeyPair();
        KeyPair second = BundleSigner.generateKeyPair();
        String bundle =
                "{\"version\":1,\"base\":0,\"teams\":[{\"id\":\"t\"}],\"operators\":["
                        + createOperator("a", first)
                        + ","
                        + createOperator("b", second)
                        + "],"
                        + parts
                        + "}";
        SignedBundle signed =
                new SignedBundle(bundle, OperatorId.parse("a"), List.of())
                        .withSignature(sign(bundle, "a", first))
                        .withSignature(sign(bundle, "b", second));
        try {
            return new ObjectMapper().writeValueAsString(signed);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static String createOperator(String id, KeyPair keys) {
        return "{\"id\":\""
                + id
                + "\",\"publicKey\":\""
                + encodeBase64(keys.getPublic().getEncoded())
                + "\"}";
    }

    private static SignedBundle.Signature sign(String bundle, String operator, KeyPair keys) {
        return BundleSigner.sign(
                bundle, OperatorId.parse(operator), encodeBase64(keys.getPrivate().getEncoded()));
    }

    private static String encodeBase64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
