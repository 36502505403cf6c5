package org.kumquatvane.document;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;

/**
 * A set of requests that are routed to one service under the same rules.
 *
 * @param id unique name
 * @param service the service that handles the requests
 * @param methods HTTP methods in upper case; empty for every method
 * @param path path pattern of segments; {@code *} matches one segment, a final {@code **} any rest
 * @param idempotent whether a request can be executed more than once without further effects
 * @param idempotencyKey handling of the Idempotency-Key header
 * @param open whether every workspace may use the route
 * @param workspaces the workspaces that may use the route if it is not open
 * @param timeout maximum time from arrival to the response head
 * @param maximumBodyBytes maximum length of a request body in bytes
 * @param traffic host, traffic split, attempts, target latency and priority
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
   * Creates a route with {@link RouteTraffic#DEFAULT}.
   *
   * @param id unique name
   * @param service the service that handles the requests
   * @param methods HTTP methods in upper case
   * @param path path pattern
   * @param idempotent whether a request can be executed more than once without further effects
   * @param idempotencyKey handling of the Idempotency-Key header
   * @param open whether every workspace may use the route
   * @param workspaces the workspaces that may use the route if it is not open
   * @param timeout maximum time from arrival to the response head
   * @param maximumBodyBytes maximum length of a request body in bytes
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
   * Returns whether the route accepts a method.
   *
   * @param method HTTP method in upper case
   * @return true if the method is listed or the list is empty
   */
  public boolean allows(String method) {
    return methods.isEmpty() || methods.contains(method);
  }
}
