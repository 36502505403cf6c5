package org.kumquatvane.settings.internal;

import java.net.InetAddress;
import java.net.UnknownHostException;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/** Reads endpoints. Only IP addresses are accepted, because VMs do not resolve host names. */
public final class EndpointReader {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
  private static final String IP_ADDRESS =
      "((" + OCTET + "\\.){3}" + OCTET + "|[0-9A-Fa-f:]{2,39})";
  private static final StringFormat ADDRESS =
      StringFormat.of(IP_ADDRESS, "that is an IPv4 or IPv6 address, such as 127.0.0.1");
  private static final StringFormat HOST_AND_PORT =
      StringFormat.of(
          "((" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9A-Fa-f:]{2,39}\\]):[0-9]{1,5}",
          "that is an IP address and a port, such as 127.0.0.1:8500 or [::1]:8500");
  private static final SocketEndpoint PLACEHOLDER = new SocketEndpoint("127.0.0.1", 1);
  private static final int MAXIMUM_PORT = 65_535;

  private EndpointReader() {}

  /**
   * Reads the required fields {@code address} and {@code port}.
   *
   * @param reader reader of the object that contains them
   * @return the endpoint
   */
  public static SocketEndpoint read(ObjectReader reader) {
    String address = reader.readString("address", ADDRESS);
    int port = (int) reader.readLong("port", 1, MAXIMUM_PORT);
    return validate(reader, "address", address, port);
  }

  /**
   * Reads the optional fields {@code address} and {@code port}.
   *
   * @param reader reader of the object that contains them
   * @param fallback endpoint that supplies absent fields
   * @return the endpoint
   */
  public static SocketEndpoint read(ObjectReader reader, SocketEndpoint fallback) {
    String address = reader.readOptionalString("address", ADDRESS).orElse(fallback.host());
    int port = (int) reader.readLong("port", 1, MAXIMUM_PORT, fallback.port());
    return validate(reader, "address", address, port);
  }

  /**
   * Reads a required field that holds an address and a port.
   *
   * @param reader reader of the object that contains it
   * @param name name of the field
   * @return the endpoint
   */
  public static SocketEndpoint readHostAndPort(ObjectReader reader, String name) {
    String text = reader.readString(name, HOST_AND_PORT);
    if (text.isEmpty()) {
      return PLACEHOLDER;
    }
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port < 1 || port > MAXIMUM_PORT) {
      reader.reportFault(name, "port " + port + " is out of range", "use a port from 1 to 65535");
      return PLACEHOLDER;
    }
    return validate(reader, name, text.substring(0, colon).replaceAll("[\\[\\]]", ""), port);
  }

  /**
   * Returns whether only processes on the same VM can connect.
   *
   * @param endpoint the endpoint
   * @return true if the address is a loopback address
   */
  public static boolean isLoopback(SocketEndpoint endpoint) {
    try {
      // The host is an IP address, so no name is resolved.
      return InetAddress.getByName(endpoint.host()).isLoopbackAddress();
    } catch (UnknownHostException e) {
      return false;
    }
  }

  private static SocketEndpoint validate(
      ObjectReader reader, String name, String address, int port) {
    if (address.isEmpty()) {
      return PLACEHOLDER;
    }
    if (address.contains(":")) {
      try {
        // A string with a colon is parsed as an IPv6 address and never resolved as a host name.
        InetAddress.getByName(address);
      } catch (UnknownHostException e) {
        reader.reportFault(name, "the IPv6 address is not valid", "write an address such as ::1");
        return PLACEHOLDER;
      }
    } else if (!address.contains(".")) {
      reader.reportFault(
          name, "the address is not an IP address", "write an address such as 127.0.0.1");
      return PLACEHOLDER;
    }
    return new SocketEndpoint(address, port);
  }
}
