package org.kumquatvane.server;

/** How a planned stop ended. */
public enum StopOutcome {
  /** All requests in flight ended. */
  COMPLETE,
  /** The drain deadline passed and requests in flight were ended. */
  DEADLINE_PASSED
}
