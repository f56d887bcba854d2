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
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * The entry point: finds the subcommand, parses its options and runs it.
 *
 * <p>{@code Main} is thread-safe and immutable.
 */
public final class Main {

    /** The width of help texts, in characters. */
    private static final int HELP_WIDTH = 100;

    /** The summaries of the subcommands by name. */
    private static final Map<String, String> COMMANDS = summaries();

    private Main() {}

    /**
     * Runs standlink and exits with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments), System.out, System.err));
    }

    /**
     * Runs standlink without exiting.
     *
     * @param arguments the command line
     * @param output where help is printed
     * @param errors where errors are printed
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
            errors.println("standlink: USAGE: unknown command; see 'standlink --help'");
            return ErrorCode.USAGE.getExitCode();
        }
        int words = name.split(" ").length;
        return run(name, arguments.subList(words, arguments.size()), output, errors);
    }

    // -----------------------------------------------------------------------
    private static int run(
            String name, List<String> options, PrintStream output, PrintStream errors) {
        Command direct = createFromSettings(name, options);
        if (direct != null) {
            return runAndPrintFailure(direct, errors);
        }
        Command command = create(name);
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(HELP_WIDTH));
        if (options.contains("--help")) {
            output.println("standlink " + name + ": " + COMMANDS.get(name));
            output.print("usage: standlink " + name);
            parser.printSingleLineUsage(output);
            output.println();
            parser.printUsage(output);
            return 0;
        }
        try {
            parser.parseArgument(options);
        } catch (CmdLineException invalid) {
            errors.println("standlink: USAGE: " + invalid.getMessage());
            errors.println("see 'standlink " + name + " --help'");
            return ErrorCode.USAGE.getExitCode();
        }
        return runAndPrintFailure(command, errors);
    }

    /**
     * Creates a command without the parser, whose reflection on annotations delays the start of
     * servers, if the only option is a settings file. Returns null otherwise; names that the parser
     * may expand or take for options are left to it.
     */
    private static Command createFromSettings(String name, List<String> options) {
        boolean onlySettings =
                options.size() == 2
                        && options.get(0).equals("--settings")
                        && !options.get(1).startsWith("@")
                        && !options.get(1).startsWith("-");
        if (!onlySettings) {
            return null;
        }
        return switch (name) {
            case "platform entry" -> new PlatformEntryCommand(Path.of(options.get(1)));
            case "platform agent" -> new PlatformAgentCommand(Path.of(options.get(1)));
            default -> null;
        };
    }

    private static int runAndPrintFailure(Command command, PrintStream errors) {
        try {
            return command.run();
        } catch (StandlinkException failure) {
            errors.println("standlink: " + failure.getCode() + ": " + failure.getMessage());
            return failure.getCode().getExitCode();
        } catch (Exception defect) {
            errors.println("standlink: INTERNAL: " + defect + "; please report this defect");
            defect.printStackTrace(errors);
            return ErrorCode.INTERNAL.getExitCode();
        }
    }

    private static String nameOf(List<String> arguments) {
        if (arguments.size() > 1) {
            String twoWords = arguments.get(0) + " " + arguments.get(1);
            if (COMMANDS.containsKey(twoWords)) {
                return twoWords;
            }
        }
        return COMMANDS.containsKey(arguments.get(0)) ? arguments.get(0) : null;
    }

    private static void printCommands(PrintStream output) {
        output.println("standlink: a scheduler for colocated latency-critical and batch work");
        output.println("usage: standlink COMMAND [OPTIONS]; 'standlink COMMAND --help' for each");
        COMMANDS.forEach((name, summary) -> output.printf("  %-20s %s%n", name, summary));
        output.println(
                "exit codes: 0 success, 1 internal error, 2 usage, 3 invalid input, 4 refused,");
        output.println("            5 unreachable, 6 outcome unknown,");
        output.println("            7 server ended itself after an internal error");
    }

    private static Map<String, String> summaries() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("entry", "run an entry");
        all.put("agent", "run an agent");
        all.put("platform entry", "run an entry on the users' platform");
        all.put("platform agent", "run an agent on the users' platform");
        all.put("platform rehearse", "load all classes for a class archive");
        all.put("bundle check", "check a bundle file");
        all.put("bundle sign", "sign a bundle");
        all.put("bundle publish", "publish a signed bundle");
        all.put("bundle diff", "compare two bundles");
        all.put("bundle status", "show the bundle in force");
        all.put("status", "show cells, workers and tasks");
        all.put("explain", "show the decisions about a job, or a report");
        all.put("keys", "generate an operator's key pair");
        all.put("stand-in platform", "run a stand-in of the platform");
        all.put("stand-in worker", "run a stand-in of a worker");
        all.put("stand-in upstream", "run a stand-in of an upstream");
        all.put("stand-in load", "send and check requests");
        all.put("stand-in deployment", "run stand-ins of the users' platform");
        all.put("stand-in ports", "print free ports");
        all.put("bench", "run a benchmark quoted in the documentation");
        return all;
    }

    /** Not a table of constructors, each of which would be linked at every start. */
    private static Command create(String name) {
        return switch (name) {
            case "entry" -> new EntryCommand();
            case "agent" -> new AgentCommand();
            case "platform entry" -> new PlatformEntryCommand();
            case "platform agent" -> new PlatformAgentCommand();
            case "platform rehearse" -> new PlatformRehearseCommand();
            case "bundle check" -> new BundleCheckCommand();
            case "bundle sign" -> new BundleSignCommand();
            case "bundle publish" -> new BundlePublishCommand();
            case "bundle diff" -> new BundleDiffCommand();
            case "bundle status" -> new BundleStatusCommand();
            case "status" -> new StatusCommand();
            case "explain" -> new ExplainCommand();
            case "keys" -> new KeysCommand();
            case "stand-in platform" -> new StandInPlatformCommand();
            case "stand-in worker" -> new StandInWorkerCommand();
            case "stand-in upstream" -> new StandInUpstreamCommand();
            case "stand-in load" -> new StandInLoadCommand();
            case "stand-in deployment" -> new StandInDeploymentCommand();
            case "stand-in ports" -> new StandInPortsCommand();
            case "bench" -> new BenchCommand();
            default -> throw new IllegalArgumentException(name);
        };
    }
}
