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
package org.standlink.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import org.standlink.ErrorCode;
import org.standlink.OperatorId;
import org.standlink.StandlinkException;

/**
 * Generates keys, signs bundles and verifies signatures with the JDK's Ed25519 implementation.
 *
 * <p>{@code BundleSigner} is thread-safe and immutable.
 */
public final class BundleSigner {

    private static final String ALGORITHM = "Ed25519";

    private BundleSigner() {}

    /**
     * Generates a key pair.
     *
     * @return the key pair
     * @throws StandlinkException with code INTERNAL if the JDK does not provide Ed25519
     */
    public static KeyPair generateKeyPair() {
        try {
            return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
        } catch (GeneralSecurityException unavailable) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    ALGORITHM + " is not available",
                    "use a full JDK 17",
                    unavailable);
        }
    }

    /**
     * Signs a bundle's text.
     *
     * @param bundle the text
     * @param operator the operator who signs
     * @param privateKey the private key, PKCS#8, in Base64
     * @return the signature
     * @throws StandlinkException with code INVALID_SIGNATURE if the private key is malformed
     */
    public static SignedBundle.Signature sign(
            String bundle, OperatorId operator, String privateKey) {
        try {
            byte[] encoded = Base64.getDecoder().decode(privateKey.trim());
            PrivateKey key =
                    KeyFactory.getInstance(ALGORITHM)
                            .generatePrivate(new PKCS8EncodedKeySpec(encoded));
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(bundle.getBytes(StandardCharsets.UTF_8));
            String value = Base64.getEncoder().encodeToString(signature.sign());
            return new SignedBundle.Signature(operator, value);
        } catch (GeneralSecurityException | IllegalArgumentException malformed) {
            throw new StandlinkException(
                    ErrorCode.INVALID_SIGNATURE,
                    "the private key of '" + operator + "' is not an Ed25519 key",
                    "create one with 'standlink keys'",
                    malformed);
        }
    }

    /**
     * Verifies a signature.
     *
     * @param bundle the text
     * @param signature the signature
     * @param publicKey the public key, X.509, in Base64
     * @return true if the signature is valid for the text and the key, false otherwise or if either
     *     is malformed
     */
    public static boolean isValid(
            String bundle, SignedBundle.Signature signature, String publicKey) {
        try {
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(decodePublicKey(publicKey));
            verifier.update(bundle.getBytes(StandardCharsets.UTF_8));
            return verifier.verify(Base64.getDecoder().decode(signature.value()));
        } catch (GeneralSecurityException | IllegalArgumentException malformed) {
            return false;
        }
    }

    /**
     * Checks whether a text is a valid public key.
     *
     * @param text the text
     * @return true if it is an Ed25519 public key, X.509, in Base64
     */
    static boolean isPublicKey(String text) {
        try {
            decodePublicKey(text);
            return true;
        } catch (GeneralSecurityException | IllegalArgumentException malformed) {
            return false;
        }
    }

    private static PublicKey decodePublicKey(String text) throws GeneralSecurityException {
        byte[] encoded = Base64.getDecoder().decode(text);
        return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(encoded));
    }
}
