package org.kumquatvane.settings;

/** HTTP version of the listener for callers. */
public enum CallerProtocol {
  /** HTTP/1.1. */
  HTTP1,
  /** HTTP/2. */
  HTTP2
}
