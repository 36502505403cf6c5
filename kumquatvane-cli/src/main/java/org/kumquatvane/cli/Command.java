package org.kumquatvane.cli;

import java.util.List;

/**
 * A command of the binary. Its fields with JCommander's {@code @Parameter} are its options; its
 * {@code @Parameters} annotation gives the summary.
 */
public interface Command {
  /**
   * Returns the word that selects the command.
   *
   * @return the name
   */
  String name();

  /**
   * Returns example command lines for the help text, each with its purpose.
   *
   * @return at least one example
   */
  List<Example> examples();

  /**
   * Returns the exit codes that the command can end with, besides 0 and 2.
   *
   * @return the codes
   */
  List<ExitCode> exitCodes();

  /**
   * Runs the command after its options were set.
   *
   * @param console where to print
   * @return the exit code
   */
  ExitCode run(Console console);

  /**
   * A command line with its purpose.
   *
   * @param purpose what it does
   * @param arguments what follows the program's name
   */
  record Example(String purpose, String arguments) {}
}
