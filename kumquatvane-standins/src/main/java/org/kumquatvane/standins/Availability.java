package org.kumquatvane.standins;

/** How a stand-in treats calls as a whole. */
public enum Availability {
  /** Calls are answered. */
  ANSWERING,
  /** The listening socket and all connections are closed. */
  REFUSING,
  /** Calls are accepted and never answered. */
  HANGING
}
