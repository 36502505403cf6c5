package org.kumquatvane.http;

/** Protocol of a listener without TLS. */
public enum CallerProtocol {
  /** HTTP/1.1. */
  HTTP1,
  /** HTTP/2 with prior knowledge. */
  HTTP2
}
