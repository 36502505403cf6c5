package org.kumquatvane.engine;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;
import org.kumquatvane.engine.internal.RequestFlow;
import org.kumquatvane.engine.internal.SlotDispatcher;
import org.kumquatvane.routing.RouteMatch;

/** Takes a caller's request through all decisions, independent of the front end's protocol. */
public final class RequestEngine implements DocumentListener {
  private final EngineDependencies dependencies;
  private final SlotDispatcher dispatcher;
  private final int maximumInFlight;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Map<ServiceName, Service> services = Map.of();

  /**
   * Creates an engine without services.
   *
   * @param dependencies tables and policies
   * @param maximumInFlight requests that this VM works on at once, waiting ones included
   */
  public RequestEngine(EngineDependencies dependencies, int maximumInFlight) {
    this.dependencies = dependencies;
    this.maximumInFlight = maximumInFlight;
    dispatcher = new SlotDispatcher(dependencies.queue(), dependencies.instances());
  }

  @Override
  public void documentInForce(Document document) {
    services =
        document.services().stream()
            .collect(Collectors.toUnmodifiableMap(Service::name, Function.identity()));
  }

  /**
   * Checks key, route and permission. Call on the worker pool, before the body is read.
   *
   * @param request head of the request
   * @return what the body may be, or the refusal
   */
  public Authorization authorize(CallerRequest request) {
    if (request.key() instanceof PresentedKey.Unusable unusable) {
      return denied(unusable.reason(), "the request has no usable key");
    }
    PresentedKey.Present key = (PresentedKey.Present) request.key();
    Optional<WorkspaceId> workspace = dependencies.keys().find(key.digest());
    if (workspace.isEmpty()) {
      return denied(Reason.KEY_NOT_ACCEPTED, "the key is unknown or withdrawn");
    }
    RouteMatch match = dependencies.routes().match(request.method(), request.path());
    if (match instanceof RouteMatch.PathUnknown) {
      return denied(Reason.ROUTE_NOT_FOUND, "no route has this path");
    }
    if (!(match instanceof RouteMatch.Found found)) {
      return denied(Reason.METHOD_NOT_ALLOWED, "no route with this path has this method");
    }
    return authorizeRoute(request, workspace.get(), found.route());
  }

  private Authorization authorizeRoute(CallerRequest request, WorkspaceId workspace, Route route) {
    if (!route.open() && !route.workspaces().contains(workspace)) {
      return denied(
          Reason.ROUTE_FORBIDDEN, "route " + route.id() + " is not open to the workspace");
    }
    if (route.idempotencyKey() == IdempotencyKeyRule.REQUIRED
        && request.idempotencyKey().isEmpty()) {
      return denied(
          Reason.IDEMPOTENCY_KEY_MISSING, "route " + route.id() + " requires an Idempotency-Key");
    }
    @Nullable Service service = services.get(route.service());
    if (service == null) {
      return denied(Reason.NO_INSTANCE, "service " + route.service() + " is not in force");
    }
    Deadline deadline = deadline(request, route);
    if (deadline.isReached(dependencies.clock())) {
      return denied(Reason.DEADLINE_PASSED_WAITING, "the deadline passed before the work began");
    }
    return new Authorization.Granted(
        new AuthorizedRequest(request, workspace, route, service, deadline));
  }

  private static Deadline deadline(CallerRequest request, Route route) {
    Duration allowed =
        request
            .timeout()
            .filter(timeout -> timeout.compareTo(route.timeout()) < 0)
            .orElse(route.timeout());
    return new Deadline(request.arrivalNanos() + allowed.toNanos());
  }

  private Authorization denied(Reason reason, String detail) {
    dependencies.counters().count(reason);
    return new Authorization.Denied(Refusal.of(reason, detail));
  }

  /**
   * Runs a checked request. Call on the worker pool.
   *
   * @param request the request
   * @param body what is known of its body
   * @param exchange drives the protocol
   * @return handle for the caller's leaving
   */
  public RunningRequest run(AuthorizedRequest request, BodyDescription body, Exchange exchange) {
    // Checked again, since the key may have been withdrawn while the body was read.
    if (!isStillGranted(request)) {
      refuse(exchange, Reason.KEY_NOT_ACCEPTED, "the key is unknown or withdrawn");
      return () -> {};
    }
    if (inFlight.incrementAndGet() > maximumInFlight) {
      inFlight.decrementAndGet();
      refuse(exchange, Reason.OVERLOADED, "too many requests in flight on this VM");
      return () -> {};
    }
    RequestFlow flow =
        new RequestFlow(
            dependencies, dispatcher, request, body, exchange, inFlight::decrementAndGet);
    flow.start();
    return flow;
  }

  private boolean isStillGranted(AuthorizedRequest request) {
    return request.head().key() instanceof PresentedKey.Present key
        && dependencies
            .keys()
            .find(key.digest())
            .filter(
                workspace -> {
                  dependencies
                      .monitor()
                      .check(
                          Invariant.WORKSPACE_MATCHES_KEY,
                          workspace.equals(request.workspace()),
                          "request=" + request.head().id());
                  return workspace.equals(request.workspace());
                })
            .isPresent();
  }

  private void refuse(Exchange exchange, Reason reason, String detail) {
    dependencies.counters().count(reason);
    exchange.refuse(new Refusal(reason, ExecutionStatus.NOT_RUN, detail, Optional.empty()));
  }

  /**
   * Gives free slots to waiting requests; call when the instances of a service have changed.
   *
   * @param service the service
   */
  public void capacityAvailable(ServiceName service) {
    dispatcher.dispatch(service);
  }

  /**
   * Returns how many requests are in flight.
   *
   * @return requests that wait or run
   */
  public int inFlight() {
    return inFlight.get();
  }
}
