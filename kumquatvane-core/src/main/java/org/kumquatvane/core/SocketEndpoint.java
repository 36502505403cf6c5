package org.kumquatvane.core;

import java.util.Objects;

/**
 * IP address and port.
 *
 * @param host IP address in text form
 * @param port port, 1 to 65,535
 */
public record SocketEndpoint(String host, int port) {
  /** Rejects a port outside the range. */
  public SocketEndpoint {
    Objects.requireNonNull(host);
    if (port < 1 || port > 65_535) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
  }

  /**
   * Parses {@code host:port}, with an IPv6 address in brackets.
   *
   * @param text the text
   * @return the endpoint
   * @throws IllegalArgumentException if the text has another form
   */
  public static SocketEndpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected host:port, got " + text);
    }
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return new SocketEndpoint(host, Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
