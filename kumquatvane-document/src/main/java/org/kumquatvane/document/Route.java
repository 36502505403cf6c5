package org.kumquatvane.document;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;

/**
 * A set of requests that go to one service under the same rules.
 *
 * @param id unique name
 * @param service the service that answers
 * @param methods HTTP methods in upper case; empty for every method
 * @param path path pattern: segments, {@code *} for one segment, a final {@code **} for any rest
 * @param idempotent whether running a request twice does no harm
 * @param idempotencyKey whether requests carry an Idempotency-Key
 * @param open whether every workspace may use the route
 * @param workspaces the workspaces that may use the route if it is not open
 * @param timeout longest time from arrival to the head of the answer
 * @param maximumBodyBytes longest request body
 * @param traffic host, division between services, attempts, target and rank
 */
public record Route(
    RouteId id,
    ServiceName service,
    Set<String> methods,
    String path,
    boolean idempotent,
    IdempotencyKeyRule idempotencyKey,
    boolean open,
    List<WorkspaceId> workspaces,
    Duration timeout,
    long maximumBodyBytes,
    RouteTraffic traffic) {
  /** Copies the collections. */
  public Route {
    methods = Set.copyOf(methods);
    workspaces = List.copyOf(workspaces);
  }

  /**
   * Creates a route with plain traffic.
   *
   * @param id unique name
   * @param service the service that answers
   * @param methods HTTP methods in upper case
   * @param path path pattern
   * @param idempotent whether running a request twice does no harm
   * @param idempotencyKey whether requests carry an Idempotency-Key
   * @param open whether every workspace may use the route
   * @param workspaces the workspaces that may use the route if it is not open
   * @param timeout longest time from arrival to the head of the answer
   * @param maximumBodyBytes longest request body
   */
  public Route(
      RouteId id,
      ServiceName service,
      Set<String> methods,
      String path,
      boolean idempotent,
      IdempotencyKeyRule idempotencyKey,
      boolean open,
      List<WorkspaceId> workspaces,
      Duration timeout,
      long maximumBodyBytes) {
    this(
        id,
        service,
        methods,
        path,
        idempotent,
        idempotencyKey,
        open,
        workspaces,
        timeout,
        maximumBodyBytes,
        RouteTraffic.DEFAULT);
  }

  /**
   * Tells whether the route serves a method.
   *
   * @param method HTTP method in upper case
   * @return true if it is listed or none is
   */
  public boolean allows(String method) {
    return methods.isEmpty() || methods.contains(method);
  }
}
