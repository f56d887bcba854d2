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

import java.util.ArrayList;
import java.util.List;
import org.standlink.ErrorCode;
import org.standlink.OperatorId;
import org.standlink.json.JsonSection;
import org.standlink.json.ValidationErrors;

/**
 * The text of a bundle with its author and its signatures.
 *
 * <p>{@code SignedBundle} is thread-safe and immutable.
 *
 * @param bundle the bundle's JSON text, exactly as signed
 * @param author the operator who wrote it
 * @param signatures the signatures, including the author's
 */
public record SignedBundle(String bundle, OperatorId author, List<Signature> signatures) {

    /**
     * One operator's signature over the bundle's text.
     *
     * @param operator the operator
     * @param value the Ed25519 signature, in Base64
     */
    public record Signature(OperatorId operator, String value) {}

    /**
     * Parses a signed bundle.
     *
     * @param text the JSON text
     * @return the signed bundle, whose signatures have not been verified
     * @throws org.standlink.StandlinkException with code INVALID_BUNDLE, listing every error
     */
    public static SignedBundle read(String text) {
        ValidationErrors errors = new ValidationErrors();
        JsonSection top = JsonSection.parse(text, errors);
        String bundle = top.requiredText("bundle");
        OperatorId author = top.requiredValue("author", OperatorId::parse);
        List<Signature> signatures = new ArrayList<>();
        for (JsonSection section : top.sections("signatures")) {
            OperatorId operator = section.requiredValue("operator", OperatorId::parse);
            signatures.add(new Signature(operator, section.requiredText("value")));
            section.reportUnknownKeys();
        }
        top.reportUnknownKeys();
        errors.throwIfAny(ErrorCode.INVALID_BUNDLE, "the signed bundle");
        return new SignedBundle(bundle, author, List.copyOf(signatures));
    }

    /**
     * Copies this bundle with one more signature.
     *
     * @param signature the signature; one by the same operator is replaced
     * @return the copy
     */
    public SignedBundle withSignature(Signature signature) {
        List<Signature> all = new ArrayList<>(signatures);
        all.removeIf(existing -> existing.operator().equals(signature.operator()));
        all.add(signature);
        return new SignedBundle(bundle, author, List.copyOf(all));
    }
}
