package org.kumquatvane.server;

/**
 * Outcome of starting a process.
 *
 * @param <S> type of the server
 */
public sealed interface StartResult<S> {
  /**
   * The process listens.
   *
   * @param server the running server
   * @param <S> type of the server
   */
  record Started<S>(S server) implements StartResult<S> {}

  /**
   * The process cannot start.
   *
   * @param problem what went wrong and what to do about it
   * @param <S> type of the server
   */
  record Failed<S>(String problem) implements StartResult<S> {}
}
