package org.kumquatvane.cli;

/** Exit codes of all commands. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "done"),
  /** The input is not valid, or would not be accepted. */
  INVALID_INPUT(1, "the input is not valid"),
  /** The command line is wrong. */
  USAGE(2, "the command line is wrong"),
  /** A file cannot be read, or a process or address cannot be reached. */
  UNREACHABLE(3, "a file cannot be read or an address cannot be reached"),
  /** Requests were terminated at the drain deadline. */
  DRAIN_DEADLINE(4, "requests were terminated at the drain deadline"),
  /** A second signal terminated the process immediately. */
  SECOND_SIGNAL(5, "a second signal ended the process at once");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /**
   * Returns the exit status of the process.
   *
   * @return the exit status
   */
  public int code() {
    return code;
  }

  /**
   * Returns the meaning for help texts.
   *
   * @return a clause
   */
  public String meaning() {
    return meaning;
  }
}
