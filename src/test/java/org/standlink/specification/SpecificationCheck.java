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
 * One run of TLC: a specification with its constants, which holds or must be found broken.
 *
 * <p>{@code SpecificationCheck} is immutable and thread-safe.
 *
 * @param module the specification
 * @param name the name of this choice of constants
 * @param invariants the invariants, with spaces between them
 * @param constants the constants
 * @param violatedInvariant the invariant that must be found broken, null if all hold
 */
record SpecificationCheck(
        String module,
        String name,
        String invariants,
        Map<String, String> constants,
        String violatedInvariant) {

    /** The status with which TLC ends if an invariant is broken. */
    private static final int VIOLATION = 12;

    /** Runs some checks side by side. */
    private static final ExecutorService POOL = ProcessThreads.newBounded("tlc", 3);

    /** Finds the number of states in what TLC says. */
    private static final Pattern STATES =
            Pattern.compile("(\\d+) states generated, (\\d+) distinct states found");

    /**
     * Makes the tests.
     *
     * @param checks what each of them runs
     * @return the tests, in this order
     */
    static Stream<DynamicTest> createTests(SpecificationCheck... checks) {
        // All are started at once and some run side by side; each test waits for its own.
        return Stream.of(checks)
                .map(
                        check ->
                                Map.entry(
                                        check,
                                        CompletableFuture.supplyAsync(() -> output(check), POOL)))
                .toList()
                .stream()
                .map(
                        entry ->
                                DynamicTest.dynamicTest(
                                        entry.getKey().module() + " " + entry.getKey().name(),
                                        () -> judge(entry.getKey(), entry.getValue().join())));
    }

    private static String output(SpecificationCheck check) {
        try {
            return check(check);
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void judge(SpecificationCheck check, String output) {
        Matcher states = STATES.matcher(output);
        assertTrue(states.find(), output);
        String verdict =
                check.violatedInvariant() == null
                        ? "holds"
                        : "is broken, as it must be: " + check.violatedInvariant();
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

    private static String check(SpecificationCheck check) throws IOException, InterruptedException {
        Path folder =
                Files.createDirectories(
                        Path.of("target", "specs", check.module() + "-" + check.name()));
        Files.copy(
                Path.of("specs", check.module() + ".tla"),
                folder.resolve(check.module() + ".tla"),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        StringBuilder configuration = new StringBuilder("SPECIFICATION Spec\n");
        // A variant may break several invariants; which one several threads find first is chance.
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
        assertEquals(check.violatedInvariant() == null ? 0 : VIOLATION, process.waitFor(), output);
        return output;
    }
}
