package org.kumquatvane.cli;

import java.io.PrintStream;

/**
 * Where commands print.
 *
 * @param out results
 * @param err why there is no result
 */
public record Console(PrintStream out, PrintStream err) {}
