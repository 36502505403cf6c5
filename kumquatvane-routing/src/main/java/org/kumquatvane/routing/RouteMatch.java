package org.kumquatvane.routing;

import org.kumquatvane.document.Route;

/** Result of a route look-up. */
public sealed interface RouteMatch {
  /**
   * A route matches.
   *
   * @param route the route
   */
  record Found(Route route) implements RouteMatch {}

  /** No route has a matching path. */
  record PathNotFound() implements RouteMatch {}

  /** A route has a matching path, but none allows the method. */
  record MethodNotAllowed() implements RouteMatch {}
}
