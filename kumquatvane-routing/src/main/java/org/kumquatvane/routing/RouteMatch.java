package org.kumquatvane.routing;

import org.kumquatvane.document.Route;

/** Outcome of looking for a route. */
public sealed interface RouteMatch {
  /**
   * A route matches.
   *
   * @param route the route
   */
  record Found(Route route) implements RouteMatch {}

  /** No route has a matching path. */
  record PathNotFound() implements RouteMatch {}

  /** Routes have a matching path, but not for the method. */
  record MethodNotAllowed() implements RouteMatch {}
}
