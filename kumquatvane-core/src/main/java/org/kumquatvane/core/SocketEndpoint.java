package org.kumquatvane.core;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IP address and port.
 *
 * @param host IP address in text form
 * @param port port, 1 to 65,535
 */
public record SocketEndpoint(String host, int port) {
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_OCTET = 255;
  private static final Pattern NUMERIC_ENDPOINT =
      Pattern.compile(
          "(?:(?<ipv4>[0-9]{1,3}(?:\\.[0-9]{1,3}){3})|\\[(?<ipv6>[0-9A-Fa-f:.]{2,45})])"
              + ":(?<port>[0-9]{1,5})");

  /** Rejects a port outside the range. */
  public SocketEndpoint {
    Objects.requireNonNull(host);
    if (port < 1 || port > MAXIMUM_PORT) {
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

  /**
   * Parses {@code address:port} with an IPv4 address, or an IPv6 address in brackets. Host names
   * and IPv6 zones are rejected, so that connecting to the endpoint never looks a name up.
   *
   * @param text the text
   * @return the endpoint, or empty if the text has another form or a number is out of range
   */
  public static Optional<SocketEndpoint> parseNumeric(String text) {
    Matcher matcher = NUMERIC_ENDPOINT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String ipv4 = matcher.group("ipv4");
    String host = ipv4 == null ? matcher.group("ipv6") : ipv4;
    int port = Integer.parseInt(matcher.group("port"));
    boolean isValid =
        port >= 1 && port <= MAXIMUM_PORT && (ipv4 == null ? isIpv6(host) : isIpv4(host));
    return isValid ? Optional.of(new SocketEndpoint(host, port)) : Optional.empty();
  }

  private static boolean isIpv4(String host) {
    return Arrays.stream(host.split("\\.", -1))
        .allMatch(octet -> Integer.parseInt(octet) <= MAXIMUM_OCTET);
  }

  private static boolean isIpv6(String host) {
    try {
      // A text with a colon is parsed as a literal and never looked up.
      return host.contains(":") && InetAddress.getByName(host) != null;
    } catch (UnknownHostException e) {
      return false;
    }
  }

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
