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

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the specifications with TLC: the design holds, and each variant without one of its fences
 * violates an invariant.
 */
public class TestSpecifications {

    /** All fences of the module Leases. */
    private static final Map<String, String> LEASE_FENCES =
            allTrue(
                    "Sticky",
                    "LatestOnly",
                    "RestartReads",
                    "UnheardWaits",
                    "NeedsAck",
                    "EndsStick",
                    "ChecksRun");

    private static final Map<String, String> ONE_LEADER =
            with(
                    LEASE_FENCES,
                    "MaxAttempt",
                    "2",
                    "Node",
                    "1",
                    "Worker",
                    "2",
                    "Authority",
                    "2",
                    "Claims",
                    "FALSE",
                    "Restarts",
                    "FALSE",
                    "Pauses",
                    "TRUE",
                    "LateAppends",
                    "TRUE",
                    "WorkerWaits",
                    "2");

    private static final Map<String, String> TWO_LEADERS =
            with(
                    ONE_LEADER,
                    "Claims",
                    "TRUE",
                    "Worker",
                    "1",
                    "WorkerWaits",
                    "1",
                    "Authority",
                    "3",
                    "Pauses",
                    "FALSE",
                    "LateAppends",
                    "FALSE");

    private static final Map<String, String> WITH_RESTARTS =
            with(TWO_LEADERS, "Restarts", "TRUE", "Authority", "2");

    /** One leader whose appends may take effect late, and agents that may restart. */
    private static final Map<String, String> LATE_RESTARTS =
            with(
                    ONE_LEADER,
                    "Restarts",
                    "TRUE",
                    "Pauses",
                    "FALSE",
                    "Worker",
                    "1",
                    "WorkerWaits",
                    "1");

    @TestFactory
    Stream<DynamicTest> leases() {
        return SpecificationCheck.createTests(
                lease("one-leader", ONE_LEADER, null),
                lease("late-restarts", LATE_RESTARTS, null),
                lease("two-leaders", TWO_LEADERS, null),
                lease("restarts", WITH_RESTARTS, null));
    }

    @TestFactory
    Stream<DynamicTest> leasesWithoutAFence() {
        String violated = "OnePlace";
        Map<String, String> quick = with(ONE_LEADER, "Pauses", "FALSE", "LateAppends", "FALSE");
        return SpecificationCheck.createTests(
                lease(
                        "waits-one-worker-lease",
                        with(ONE_LEADER, "WorkerWaits", "1", "Worker", "3"),
                        violated),
                lease("takes-release-back", with(ONE_LEADER, "Sticky", "FALSE"), violated),
                lease("takes-old-answers", with(quick, "LatestOnly", "FALSE"), violated),
                lease("hands-out-ended", with(LATE_RESTARTS, "EndsStick", "FALSE"), violated),
                lease(
                        "believes-earlier-run",
                        with(LATE_RESTARTS, "ChecksRun", "FALSE", "LateAppends", "FALSE"),
                        violated),
                lease("forgets-authority", with(TWO_LEADERS, "UnheardWaits", "FALSE"), violated),
                lease("counts-unacknowledged", with(TWO_LEADERS, "NeedsAck", "FALSE"), violated),
                lease(
                        "restart-without-read",
                        with(WITH_RESTARTS, "RestartReads", "FALSE"),
                        violated));
    }

    private static SpecificationCheck lease(
            String name, Map<String, String> constants, String violated) {
        return new SpecificationCheck("Leases", name, "OnePlace", constants, violated);
    }

    @TestFactory
    Stream<DynamicTest> requests() {
        Map<String, String> once =
                with(
                        "Repeatable",
                        "FALSE",
                        "Bars",
                        "TRUE",
                        "ChecksIncarnation",
                        "TRUE",
                        "RetriesUnknown",
                        "FALSE",
                        "RemembersUnknown",
                        "TRUE");
        Map<String, String> repeatable = with(once, "Repeatable", "TRUE");
        String both = "AtMostOnce NotRunIsTrue";
        return SpecificationCheck.createTests(
                new SpecificationCheck("Requests", "once", both, once, null),
                new SpecificationCheck("Requests", "repeatable", both, repeatable, null),
                new SpecificationCheck(
                        "Requests", "no-bar", both, with(once, "Bars", "FALSE"), "AtMostOnce"),
                new SpecificationCheck(
                        "Requests",
                        "no-incarnation",
                        both,
                        with(once, "ChecksIncarnation", "FALSE"),
                        "AtMostOnce"),
                new SpecificationCheck(
                        "Requests",
                        "retries-unknown",
                        both,
                        with(once, "RetriesUnknown", "TRUE"),
                        "AtMostOnce"),
                new SpecificationCheck(
                        "Requests",
                        "forgets-unknown",
                        both,
                        with(repeatable, "RemembersUnknown", "FALSE"),
                        "NotRunIsTrue"));
    }

    @TestFactory
    Stream<DynamicTest> keys() {
        Map<String, String> all = allTrue("WaitsAfterStart", "WaitsAfterMove", "ComparesRosters");
        return SpecificationCheck.createTests(
                new SpecificationCheck("Keys", "window", "AtMostOnce", all, null),
                new SpecificationCheck(
                        "Keys",
                        "no-wait-after-start",
                        "AtMostOnce",
                        with(all, "WaitsAfterStart", "FALSE"),
                        "AtMostOnce"),
                new SpecificationCheck(
                        "Keys",
                        "no-wait-after-move",
                        "AtMostOnce",
                        with(all, "WaitsAfterMove", "FALSE"),
                        "AtMostOnce"),
                new SpecificationCheck(
                        "Keys",
                        "compares-no-rosters",
                        "AtMostOnce",
                        with(all, "ComparesRosters", "FALSE"),
                        "AtMostOnce"));
    }

    @TestFactory
    Stream<DynamicTest> bundles() {
        Map<String, String> all =
                with(allTrue("ChecksBase", "SnapshotHasOffset", "NeedsSnapshot"), "MaxLog", "4");
        return SpecificationCheck.createTests(
                new SpecificationCheck("Bundles", "agreement", "Agreement", all, null),
                new SpecificationCheck(
                        "Bundles",
                        "no-base",
                        "Agreement",
                        with(all, "ChecksBase", "FALSE"),
                        "Agreement"),
                new SpecificationCheck(
                        "Bundles",
                        "snapshot-where-it-landed",
                        "Agreement",
                        with(all, "SnapshotHasOffset", "FALSE"),
                        "Agreement"),
                new SpecificationCheck(
                        "Bundles",
                        "no-snapshot",
                        "Agreement",
                        with(all, "NeedsSnapshot", "FALSE"),
                        "Agreement"));
    }

    @TestFactory
    Stream<DynamicTest> cell() {
        Map<String, String> all =
                with(
                        "MaxRun",
                        "2",
                        "Lease",
                        "1",
                        "Authority",
                        "1",
                        "WritesFirst",
                        "TRUE",
                        "Fences",
                        "TRUE",
                        "RecordsEnds",
                        "TRUE",
                        "WaitsAuthority",
                        "TRUE",
                        "OrdersEnd",
                        "TRUE");
        String place = "OnePlace";
        return SpecificationCheck.createTests(
                cell("submitted", all, null),
                cell("acts-first", with(all, "WritesFirst", "FALSE"), place),
                cell("no-fence", with(all, "Fences", "FALSE"), place),
                cell("forgets-first", with(all, "RecordsEnds", "FALSE"), "NoneAfterDone"),
                cell("orders-without-end", with(all, "OrdersEnd", "FALSE"), place),
                cell(
                        "waits-one-lease",
                        with(all, "WaitsAuthority", "FALSE", "Authority", "2"),
                        place));
    }

    private static SpecificationCheck cell(
            String name, Map<String, String> constants, String violated) {
        return new SpecificationCheck("Cell", name, "OnePlace NoneAfterDone", constants, violated);
    }

    @TestFactory
    Stream<DynamicTest> appends() {
        Map<String, String> all = with("Changes", "{1, 2, 3}", "EndsOnThrow", "TRUE");
        return SpecificationCheck.createTests(
                appends("told-once-kept", all, null),
                appends("goes-on-after-a-throw", with(all, "EndsOnThrow", "FALSE"), "ToldIsKept"));
    }

    private static SpecificationCheck appends(
            String name, Map<String, String> constants, String violated) {
        return new SpecificationCheck("Appends", name, "ToldIsKept", constants, violated);
    }

    /** Two processes of an agent, and calls that are executed late. */
    private static final Map<String, String> LATE_CALLS =
            with(
                    allTrue(
                            "Generations",
                            "AdoptsFirst",
                            "WorkerFence",
                            "VoidsAtLapse",
                            "RestartRaises",
                            "RestartWaits",
                            "NumbersReports",
                            "NamesGeneration"),
                    "MaxRun",
                    "2",
                    "MaxGeneration",
                    "3",
                    "MaxLife",
                    "2",
                    "MaxReports",
                    "1",
                    "MaxCalls",
                    "2",
                    "Lease",
                    "1");

    /** Two processes of an agent, and reports that arrive late. */
    private static final Map<String, String> LATE_REPORTS =
            with(LATE_CALLS, "MaxGeneration", "2", "MaxReports", "2", "MaxCalls", "1");

    @TestFactory
    Stream<DynamicTest> agentLeases() {
        return SpecificationCheck.createTests(
                agent("late-calls", LATE_CALLS, true),
                agent("late-reports", LATE_REPORTS, true),
                agent("no-generation", with(LATE_CALLS, "Generations", "FALSE"), false),
                agent("adopts-after-lease", with(LATE_CALLS, "AdoptsFirst", "FALSE"), false),
                agent("no-worker-fence", with(LATE_CALLS, "WorkerFence", "FALSE"), false),
                agent("no-void-at-lapse", with(LATE_CALLS, "VoidsAtLapse", "FALSE"), false),
                agent("late-reports-heeded", with(LATE_REPORTS, "NumbersReports", "FALSE"), false),
                agent("names-nothing", with(LATE_REPORTS, "NamesGeneration", "FALSE"), false),
                agent(
                        "restart-keeps-generation",
                        with(LATE_CALLS, "RestartRaises", "FALSE"),
                        false),
                agent(
                        "restart-takes-lease-for-over",
                        with(LATE_CALLS, "RestartWaits", "FALSE"),
                        false));
    }

    private static SpecificationCheck agent(
            String name, Map<String, String> constants, boolean holds) {
        String both = "OnePlace PresentHeard";
        String violated = holds ? null : "OnePlace";
        return new SpecificationCheck("AgentLeases", name, both, constants, violated);
    }

    /** A worker that restarts once under its id; each start is requested once. */
    private static final Map<String, String> RESTARTED =
            with(
                    allTrue(
                            "TellsLives",
                            "RaisesFirst",
                            "WaitsForLists",
                            "ListsUnderRaised",
                            "TakesOver",
                            "RecordsAnew"),
                    "RepeatsCalls",
                    "FALSE",
                    "MaxRun",
                    "3",
                    "MaxLife",
                    "2",
                    "MaxCalls",
                    "2");

    /** The design does not prevent the last two violations: they are known limits. */
    @TestFactory
    Stream<DynamicTest> workerIncarnations() {
        return SpecificationCheck.createTests(
                worker("two-lives", RESTARTED, null),
                worker("tells-no-lives", with(RESTARTED, "TellsLives", "FALSE"), "NoEndLost"),
                worker("raises-nothing", with(RESTARTED, "RaisesFirst", "FALSE"), "OnePlace"),
                worker("waits-for-nothing", with(RESTARTED, "WaitsForLists", "FALSE"), "OnePlace"),
                worker("any-lists", with(RESTARTED, "ListsUnderRaised", "FALSE"), "OnePlace"),
                worker("gives-up-all", with(RESTARTED, "TakesOver", "FALSE"), "OnePlace"),
                worker("records-go-on", with(RESTARTED, "RecordsAnew", "FALSE"), "NoEndLost"),
                worker("calls-repeated", with(RESTARTED, "RepeatsCalls", "TRUE"), "NotAgain"),
                worker("three-lives", with(RESTARTED, "MaxLife", "3"), "OnePlace"));
    }

    private static SpecificationCheck worker(
            String name, Map<String, String> constants, String violated) {
        String all = "OnePlace NotAgain NoEndLost";
        return new SpecificationCheck("WorkerLives", name, all, constants, violated);
    }

    // -----------------------------------------------------------------------
    private static Map<String, String> allTrue(String... names) {
        Map<String, String> result = new TreeMap<>();
        Stream.of(names).forEach(name -> result.put(name, "TRUE"));
        return result;
    }

    private static Map<String, String> with(String... pairs) {
        return with(Map.of(), pairs);
    }

    private static Map<String, String> with(Map<String, String> base, String... pairs) {
        Map<String, String> result = new TreeMap<>(base);
        for (String[] pair : pairsOf(List.of(pairs))) {
            result.put(pair[0], pair[1]);
        }
        return result;
    }

    private static List<String[]> pairsOf(List<String> flat) {
        return java.util.stream.IntStream.range(0, flat.size() / 2)
                .mapToObj(i -> new String[] {flat.get(2 * i), flat.get(2 * i + 1)})
                .toList();
    }
}
