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

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * The entry point: finds the subcommand, fills in its options and runs it.
 *
 * <p>{@code Main} is thread-safe and immutable.
 */
public final class Main {

    /** The width of help texts, in characters. */
    private static final int HELP_WIDTH = 100;

    /** A subcommand. */
    private record Entry(String summary, Supplier<Command> maker) {}

    /** The subcommands by name. */
    private static final Map<String, Entry> COMMANDS = commands();

    /** No instances. */
    private Main() {}

    /**
     * Runs standlink.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments), System.out, System.err));
    }

    /**
     * Runs standlink without ending the process.
     *
     * @param arguments the command line
     * @param output where help goes
     * @param errors where errors go
     * @return the exit code; see {@link ErrorCode}
     */
    public static int run(List<String> arguments, PrintStream output, PrintStream errors) {
        if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
            printCommands(output);
            return arguments.isEmpty() ? ErrorCode.USAGE.getExitCode() : 0;
        }
        if (arguments.get(0).equals("--version")) {
            String version = Main.class.getPackage().getImplementationVersion();
            output.println("standlink " + (version == null ? "(not packaged)" : version));
            return 0;
        }
        String name = nameOf(arguments);
        if (name == null) {
            errors.println("standlink: USAGE: no such command; see 'standlink --help'");
            return ErrorCode.USAGE.getExitCode();
        }
        int words = name.split(" ").length;
        return run(name, arguments.subList(words, arguments.size()), output, errors);
    }

    // -----------------------------------------------------------------------
    private static int run(
            String name, List<String> options, PrintStream output, PrintStream errors) {
        Command command = COMMANDS.get(name).maker().get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(HELP_WIDTH));
        if (options.contains("--help")) {
            output.println("standlink " + name + ": " + COMMANDS.get(name).summary());
            output.print("usage: standlink " + name);
            parser.printSingleLineUsage(output);
            output.println();
            parser.printUsage(output);
            return 0;
        }
        try {
            parser.parseArgument(options);
            return command.run();
        } catch (CmdLineException wrong) {
            errors.println("standlink: USAGE: " + wrong.getMessage());
            errors.println("see 'standlink " + name + " --help'");
            return ErrorCode.USAGE.getExitCode();
        } catch (StandlinkException failure) {
            errors.println("standlink: " + failure.getCode() + ": " + failure.getMessage());
            return failure.getCode().getExitCode();
        } catch (Exception defect) {
            errors.println("standlink: INTERNAL: " + defect + "; report a defect");
            defect.printStackTrace(errors);
            return ErrorCode.INTERNAL.getExitCode();
        }
    }

    private static String nameOf(List<String> arguments) {
        if (arguments.size() > 1) {
            String two = arguments.get(0) + " " + arguments.get(1);
            if (COMMANDS.containsKey(two)) {
                return two;
            }
        }
        return COMMANDS.containsKey(arguments.get(0)) ? arguments.get(0) : null;
    }

    private static void printCommands(PrintStream output) {
        output.println("standlink: a scheduler for colocated latency-critical and batch work");
        output.println("usage: standlink COMMAND [OPTIONS]; 'standlink COMMAND --help' for each");
        COMMANDS.forEach((name, entry) -> output.printf("  %-20s %s%n", name, entry.summary()));
        output.println("exit codes: 0 done, 1 internal, 2 usage, 3 invalid input, 4 refused,");
        output.println("            5 not reachable, 6 outcome not known,");
        output.println("            7 a program ended itself after an error");
    }

    private static Map<String, Entry> commands() {
        Map<String, Entry> all = new LinkedHashMap<>();
        all.put("entry", new Entry("run an entry", EntryCommand::new));
        all.put("agent", new Entry("run an agent", AgentCommand::new));
        all.put(
                "platform entry",
                new Entry("run an entry on the users' platform", PlatformEntryCommand::new));
        all.put(
                "platform agent",
                new Entry("run an agent on the users' platform", PlatformAgentCommand::new));
        all.put(
                "platform rehearse",
                new Entry("load all classes, to archive them", PlatformRehearseCommand::new));
        all.put("bundle check", new Entry("check a bundle file", BundleCheckCommand::new));
        all.put("bundle sign", new Entry("sign a bundle", BundleSignCommand::new));
        all.put("bundle publish", new Entry("publish a signed bundle", BundlePublishCommand::new));
        all.put("bundle diff", new Entry("compare two bundles", BundleDiffCommand::new));
        all.put("bundle status", new Entry("show the bundle in force", BundleStatusCommand::new));
        all.put("status", new Entry("show cells, workers and tasks", StatusCommand::new));
        all.put("explain", new Entry("show what was decided about a job", ExplainCommand::new));
        all.put("keys", new Entry("make an operator's keys", KeysCommand::new));
        all.put(
                "stand-in platform",
                new Entry("run a stand-in of the platform", StandInPlatformCommand::new));
        all.put(
                "stand-in worker",
                new Entry("run a stand-in of a worker", StandInWorkerCommand::new));
        all.put(
                "stand-in upstream",
                new Entry("run a stand-in of an upstream", StandInUpstreamCommand::new));
        all.put("stand-in load", new Entry("send and check requests", StandInLoadCommand::new));
        all.put("stand-in ports", new Entry("print free ports", StandInPortsCommand::new));
        all.put("bench", new Entry("repeat a measurement of the docs", BenchCommand::new));
        return all;
    }
}
