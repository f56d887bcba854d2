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
package org.standlink.specification;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the specification of claims and resignations with TLC. The design holds. If epochs are
 * shared, each acknowledged append is still stored, but only with both defences.
 */
public class TestClaimSpecification {

    private static final String EPOCHS_RISE = "EpochsRise";
    private static final String ONE_HOLDER = "OneHolder";
    private static final String TOLD_IS_KEPT = "ToldIsKept";
    private static final String ALL = EPOCHS_RISE + " " + ONE_HOLDER + " " + TOLD_IS_KEPT;

    @TestFactory
    Stream<DynamicTest> claims() {
        return SpecificationCheck.createTests(
                holds("design", ALL, true, true, true),
                holds("shared-epochs", TOLD_IS_KEPT, false, true, true),
                violates("resigns-at-the-end", EPOCHS_RISE, false, true, true),
                violates("claims-twice", ONE_HOLDER, false, true, true),
                violates("no-defence", TOLD_IS_KEPT, false, false, false),
                violates("ends-compared-only", TOLD_IS_KEPT, false, false, true));
    }

    private static SpecificationCheck holds(
            String name, String invariants, boolean atRead, boolean ownNumbers, boolean checksEnd) {
        Map<String, String> constants = constants(atRead, ownNumbers, checksEnd);
        return new SpecificationCheck("Claims", name, invariants, constants, null);
    }

    private static SpecificationCheck violates(
            String name, String invariant, boolean atRead, boolean ownNumbers, boolean checksEnd) {
        Map<String, String> constants = constants(atRead, ownNumbers, checksEnd);
        return new SpecificationCheck("Claims", name, invariant, constants, invariant);
    }

    private static Map<String, String> constants(
            boolean atRead, boolean ownNumbers, boolean checksEnd) {
        Map<String, String> constants = new TreeMap<>();
        constants.put("Processes", "3");
        constants.put("MaxEpoch", "2");
        constants.put("MaxAppends", "1");
        constants.put("MaxCalls", "2");
        constants.put("AtRead", literal(atRead));
        constants.put("OwnNumbers", literal(ownNumbers));
        constants.put("ChecksEnd", literal(checksEnd));
        return constants;
    }

    private static String literal(boolean value) {
        return value ? "TRUE" : "FALSE";
    }
}
