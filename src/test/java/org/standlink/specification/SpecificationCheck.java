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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.standlink.process.ProcessThreads;

/**
 * One run of TLC: a specification with its constants, whose invariants must hold or one of which
 * must be violated.
 *
 * <p>{@code SpecificationCheck} is immutable and thread-safe.
 *
 * @param module the specification
 * @param name the name of this choice of constants
 * @param invariants the invariants, separated by spaces
 * @param constants the values of the constants, by name
 * @param violatedInvariant the invariant that must be violated, null if all must hold
 */
record SpecificationCheck(
        String module,
        String name,
        String invariants,
        Map<String, String> constants,
        String violatedInvariant) {

    /** The exit status of TLC if an invariant is violated. */
    private static final int VIOLATION_STATUS = 12;

    /** Runs a few checks in parallel. */
    private static final ExecutorService POOL = ProcessThreads.newBounded("tlc", 3);

    /** Matches the numbers of states in the output of TLC. */
    private static final Pattern STATE_COUNTS =
            Pattern.compile("(\\d+) states generated, (\\d+) distinct states found");

    /**
     * Creates the tests of some checks.
     *
     * @param checks the checks
     * @return one test for each check, in the same order
     */
    static Stream<DynamicTest> createTests(SpecificationCheck... checks) {
        // All checks are submitted at once and a few run in parallel; each test waits for its own.
        return Stream.of(checks)
                .map(
                        check ->
                                Map.entry(
                                        check,
                                        CompletableFuture.supplyAsync(
                                                () -> runUnchecked(check), POOL)))
                .toList()
                .stream()
                .map(
                        entry ->
                                DynamicTest.dynamicTest(
                                        entry.getKey().module() + " " + entry.getKey().name(),
                                        () ->
                                                verifyOutput(
                                                        entry.getKey(), entry.getValue().join())));
    }

    private static String runUnchecked(SpecificationCheck check) {
        try {
            return runTlc(check);
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void verifyOutput(SpecificationCheck check, String output) {
        Matcher states = STATE_COUNTS.matcher(output);
        assertTrue(states.find(), output);
        String verdict =
                check.violatedInvariant() == null
                        ? "holds"
                        : "is violated, as required: " + check.violatedInvariant();
        System.out.printf(
                "%s %s %s; %s states, %s distinct%n",
                check.module(), check.name(), verdict, states.group(1), states.group(2));
        if (check.violatedInvariant() == null) {
            assertTrue(output.contains("No error has been found"), output);
        } else {
            assertTrue(
                    output.contains("Invariant " + check.violatedInvariant() + " is violated"),
                    output);
        }
    }

    private static String runTlc(SpecificationCheck check)
            throws IOException, InterruptedException {
        Path folder =
                Files.createDirectories(
                        Path.of("target", "specs", check.module() + "-" + check.name()));
        Files.copy(
                Path.of("specs", check.module() + ".tla"),
                folder.resolve(check.module() + ".tla"),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        StringBuilder configuration = new StringBuilder("SPECIFICATION Spec\n");
        // A variant may violate several invariants, and which of them the threads of TLC find first
        // varies, so only the expected one is checked.
        String invariants =
                check.violatedInvariant() == null ? check.invariants() : check.violatedInvariant();
        for (String invariant : invariants.split(" ")) {
            configuration.append("INVARIANT ").append(invariant).append('\n');
        }
        check.constants()
                .forEach(
                        (name, value) ->
                                configuration
                                        .append("CONSTANT ")
                                        .append(name)
                                        .append(" = ")
                                        .append(value)
                                        .append('\n'));
        Files.writeString(folder.resolve(check.module() + ".cfg"), configuration);
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx2g",
                                "-XX:+UseParallelGC",
                                "-Djava.io.tmpdir=" + folder.toAbsolutePath(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "tlc2.TLC",
                                "-deadlock",
                                "-workers",
                                "3",
                                "-fpmem",
                                "0.3",
                                check.module())
                        .directory(folder.toFile())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(
                check.violatedInvariant() == null ? 0 : VIOLATION_STATUS,
                process.waitFor(),
                output);
        return output;
    }
}
