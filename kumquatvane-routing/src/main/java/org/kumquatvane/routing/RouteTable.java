package org.kumquatvane.routing;

/** Finds the route of a request. */
public interface RouteTable {
  /**
   * Finds the most specific route of a host; routes without a host match every host.
   *
   * @param host host name in lower case, without a port
   * @param method HTTP method in upper case
   * @param path decoded absolute path without query
   * @return the route, or the reason why none matches
   */
  RouteMatch match(String host, String method, String path);
}
