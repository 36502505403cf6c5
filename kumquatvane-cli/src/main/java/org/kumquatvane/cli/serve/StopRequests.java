package org.kumquatvane.cli.serve;

/** Tells a process when to begin its planned stop. */
public interface StopRequests {
  /** Asks for the planned stop; further calls change nothing. */
  void request();

  /** Blocks until the planned stop is asked for. */
  void await();
}
