package org.kumquatvane.server;

/** Outcome of starting an entry VM. */
public sealed interface EntryStartResult {
  /**
   * It runs.
   *
   * @param server the running server
   */
  record Started(EntryServer server) implements EntryStartResult {}

  /**
   * It cannot start.
   *
   * @param problem what is wrong, with the remedy
   */
  record Failed(String problem) implements EntryStartResult {}
}
