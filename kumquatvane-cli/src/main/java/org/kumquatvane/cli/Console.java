package org.kumquatvane.cli;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out results
 * @param err error messages and hints
 */
public record Console(PrintStream out, PrintStream err) {}
