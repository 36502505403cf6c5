package org.kumquatvane.cli.serve;

import java.time.Duration;

/** Source of requests for the planned stop of a process. */
public interface StopRequests {
  /** Requests the planned stop; further calls have no effect. */
  void request();

  /** Blocks until the planned stop is requested. */
  void await();

  /**
   * Blocks until the planned stop is requested or the timeout elapses.
   *
   * @param timeout the longest time to wait
   * @return whether the planned stop is requested
   */
  boolean await(Duration timeout);
}
