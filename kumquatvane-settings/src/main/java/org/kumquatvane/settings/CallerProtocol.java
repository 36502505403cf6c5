package org.kumquatvane.settings;

/** HTTP version towards callers. */
public enum CallerProtocol {
  /** HTTP/1.1. */
  HTTP1,
  /** HTTP/2. */
  HTTP2
}
