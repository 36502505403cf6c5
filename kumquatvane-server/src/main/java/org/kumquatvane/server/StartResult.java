package org.kumquatvane.server;

/** Outcome of starting a process. */
public sealed interface StartResult {
  /**
   * The process listens.
   *
   * @param server the running server
   */
  record Started(ProxyServer server) implements StartResult {}

  /**
   * The process cannot start.
   *
   * @param problem what went wrong and what to do about it
   */
  record Failed(String problem) implements StartResult {}
}
