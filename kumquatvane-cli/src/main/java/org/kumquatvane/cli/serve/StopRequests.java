package org.kumquatvane.cli.serve;

import java.time.Duration;

/** Tells a process when to begin its planned stop. */
public interface StopRequests {
  /** Asks for the planned stop; further calls change nothing. */
  void request();

  /** Blocks until the planned stop is asked for. */
  void await();

  /**
   * Blocks until the planned stop is asked for, or for a time.
   *
   * @param timeout the time
   */
  void await(Duration timeout);
}
