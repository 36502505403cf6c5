package org.kumquatvane.server;

/**
 * Result of starting a server.
 *
 * @param <S> type of the server
 */
public sealed interface StartResult<S> {
  /**
   * The server is running.
   *
   * @param server the running server
   * @param <S> type of the server
   */
  record Started<S>(S server) implements StartResult<S> {}

  /**
   * The server could not start.
   *
   * @param problem the cause and its remedy
   * @param <S> type of the server
   */
  record Failed<S>(String problem) implements StartResult<S> {}
}
