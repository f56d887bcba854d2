/** The command line: {@code standlink} and its subcommands. */
package org.standlink.command;
