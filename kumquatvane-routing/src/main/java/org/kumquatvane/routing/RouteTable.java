package org.kumquatvane.routing;

/** Finds the route of a request. */
public interface RouteTable {
  /**
   * Finds the most specific route.
   *
   * @param method HTTP method in upper case
   * @param path decoded absolute path without query
   * @return the route, or why there is none
   */
  RouteMatch match(String method, String path);
}
