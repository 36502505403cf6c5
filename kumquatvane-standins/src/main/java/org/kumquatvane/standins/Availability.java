package org.kumquatvane.standins;

/** How a stand-in handles all calls. */
public enum Availability {
  /** Calls are answered. */
  ANSWERING,
  /** The listening socket and all connections are closed. */
  REFUSING,
  /** Calls are accepted and never answered. */
  HANGING
}
