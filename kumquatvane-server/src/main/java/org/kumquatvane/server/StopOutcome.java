package org.kumquatvane.server;

/** Outcome of a planned stop. */
public enum StopOutcome {
  /** All requests in flight completed. */
  COMPLETE,
  /** The drain deadline passed and the remaining requests were aborted. */
  DEADLINE_PASSED
}
