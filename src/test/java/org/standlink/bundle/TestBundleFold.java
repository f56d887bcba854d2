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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.standlink.BundleFixtures;
import org.standlink.BundleVersion;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/** Tests the validation and the acceptance of bundles. */
public class TestBundleFold {

    @Test
    void acceptsInOrder() {
        BundleFold fold = new BundleFold();
        fold.apply(BundleFixtures.signed(BundleFixtures.bundle(1, "")));
        fold.apply(BundleFixtures.signed(BundleFixtures.bundle(2, BundleFixtures.SCAN_JOB)));
        assertEquals(BundleVersion.of(2), fold.getVersion());
    }

    @Test
    void rejectsAStaleBaseAndNamesTheVersionInForce() {
        BundleFold fold = new BundleFold();
        fold.apply(BundleFixtures.signed(BundleFixtures.bundle(1, "")));
        String accepted = BundleFixtures.signed(BundleFixtures.bundle(2, ""));
        fold.apply(accepted);
        StandlinkException exception =
                assertThrows(
                        StandlinkException.class,
                        () ->
                                fold.apply(
                                        BundleFixtures.signed(
                                                BundleFixtures.bundle(
                                                        2, BundleFixtures.SCAN_JOB))));
        assertEquals(ErrorCode.STALE_BASE, exception.getCode());
        assertTrue(exception.getMessage().contains("version 2 won"), exception.getMessage());
        assertEquals(accepted, fold.getSignedText());
    }

    @Test
    void acceptsABundleOnlyOnce() {
        BundleFold fold = new BundleFold();
        String first = BundleFixtures.signed(BundleFixtures.bundle(1, ""));
        fold.apply(first);
        assertThrows(StandlinkException.class, () -> fold.apply(first));
        assertEquals(BundleVersion.of(1), fold.getVersion());
    }

    @Test
    void requiresASecondSignature() {
        BundleFold fold = new BundleFold();
        StandlinkException exception =
                assertThrows(
                        StandlinkException.class,
                        () ->
                                fold.apply(
                                        BundleFixtures.signedByAuthor(
                                                BundleFixtures.bundle(1, ""))));
        assertEquals(ErrorCode.INVALID_SIGNATURE, exception.getCode());
    }

    @Test
    void rejectsAModifiedBundle() {
        BundleFold fold = new BundleFold();
        String modified =
                BundleFixtures.signed(BundleFixtures.bundle(1, ""))
                        .replace("\\\"queue\\\":2", "\\\"queue\\\":3");
        StandlinkException exception =
                assertThrows(StandlinkException.class, () -> fold.apply(modified));
        assertEquals(ErrorCode.INVALID_SIGNATURE, exception.getCode());
    }

    @Test
    void holderNeverRevertsToAnEarlierVersion() {
        BundleHolder holder = new BundleHolder();
        assertTrue(
                holder.offer(
                        BundleFixtures.signed(BundleFixtures.bundle(2, "")), BundleVersion.of(2)));
        assertFalse(
                holder.offer(
                        BundleFixtures.signed(BundleFixtures.bundle(1, "")), BundleVersion.of(1)));
        assertEquals(BundleVersion.of(2), holder.getVersion());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"slots\":2 | \"slots\":0 | services[0].slots",
                "\"slots\":2 | \"slots\":\"x\" | services[0].slots",
                "\"slots\":2 | \"slot\":2 | services[0].slot: unknown key",
                "\"connections\":8 | \"connections\":1 | services[0].connections",
                "\"vm-3\"] | \"vm-9\"] | services[0].upstreams: 'vm-9' is in no cell",
                "[\"POST\"],\"repeatable\":false | [\"GET\"],\"repeatable\":false | classes[1].methods",
                "\"cores\":2,\"memoryMegabytes\":1000},\"keyW | \"cores\":9,\"memoryMegabytes\":1000},\"keyW | reserve more",
                "\"base\":0 | \"base\":1 | version: 1 does not follow base 1",
                "\"id\":\"one\" | \"id\":\"One\" | cells[0].id",
                "\"id\":\"ivo\" | \"id\":\"ana\" | operators: 'ana' is defined twice",
            })
    void reportsPathAndProblemOfEachError(String good, String bad, String expected) {
        String text = BundleFixtures.bundle(1, "");
        assertTrue(text.contains(good), good);
        StandlinkException exception =
                assertThrows(
                        StandlinkException.class, () -> BundleReader.read(text.replace(good, bad)));
        assertEquals(ErrorCode.INVALID_BUNDLE, exception.getCode());
        assertTrue(exception.getMessage().contains(expected), exception.getMessage());
    }

    @Test
    void reportsAllErrorsAtOnce() {
        String text =
                BundleFixtures.bundle(1, "")
                        .replace("\"slots\":2", "\"slots\":0")
                        .replace("\"queue\":2", "\"queue\":-1");
        StandlinkException exception =
                assertThrows(StandlinkException.class, () -> BundleReader.read(text));
        assertTrue(exception.getMessage().contains("2 fault(s)"), exception.getMessage());
    }
}
