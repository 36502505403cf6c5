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
import org.kumquatvane.document.Workspace;
import org.kumquatvane.engine.internal.RequestFlow;
import org.kumquatvane.engine.internal.SlotDispatcher;
import org.kumquatvane.engine.internal.TrafficSplit;
import org.kumquatvane.routing.RouteMatch;

/** Takes a caller's request through all decisions, independent of the front end's protocol. */
public final class RequestEngine implements DocumentListener {
  private final EngineDependencies dependencies;
  private final SlotDispatcher dispatcher;
  private final int maximumInFlight;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Map<ServiceName, Service> services = Map.of();
  private volatile Map<WorkspaceId, Integer> priorities = Map.of();
  private volatile boolean configured;

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
    priorities =
        document.workspaces().stream()
            .filter(workspace -> workspace.priority().isPresent())
            .collect(
                Collectors.toUnmodifiableMap(
                    Workspace::id, workspace -> workspace.priority().getAsInt()));
    configured = true;
  }

  /**
   * Checks key, route and permission. Call on the worker pool, before the body is read.
   *
   * @param request head of the request
   * @return what the body may be, or the refusal
   */
  public Authorization authorize(CallerRequest request) {
    if (!configured) {
      return denied(Reason.NOT_READY, "no document is in force yet");
    }
    RouteMatch match =
        dependencies.routes().match(request.host(), request.method(), request.path());
    Optional<WorkspaceId> workspace = workspace(request.key());
    boolean keyless = match instanceof RouteMatch.Found found && found.route().traffic().keyless();
    if (workspace.isEmpty() && !keyless) {
      return request.key() instanceof PresentedKey.Unusable unusable
          ? denied(unusable.reason(), "the request has no usable key")
          : denied(Reason.KEY_NOT_ACCEPTED, "the key is unknown or withdrawn");
    }
    if (match instanceof RouteMatch.PathNotFound) {
      return denied(Reason.ROUTE_NOT_FOUND, "no route has this path");
    }
    if (!(match instanceof RouteMatch.Found found)) {
      return denied(Reason.METHOD_NOT_ALLOWED, "no route with this path has this method");
    }
    return authorizeRoute(request, workspace.orElse(AuthorizedRequest.ANONYMOUS), found.route());
  }

  private Optional<WorkspaceId> workspace(PresentedKey key) {
    return key instanceof PresentedKey.Present present
        ? dependencies.keys().find(present.digest())
        : Optional.empty();
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
    ServiceName chosen = TrafficSplit.choose(route, request.id());
    @Nullable Service service = services.get(chosen);
    if (service == null) {
      return denied(Reason.NO_INSTANCE, "service " + chosen + " is not in force");
    }
    Deadline deadline = deadline(request, route);
    if (deadline.isReached(dependencies.clock())) {
      return denied(Reason.DEADLINE_PASSED_WAITING, "the deadline passed before the work began");
    }
    return new Authorization.Granted(
        new AuthorizedRequest(
            request, workspace, route, service, priority(workspace, route), deadline));
  }

  /** The rank of a workspace goes before the one of the route. */
  private int priority(WorkspaceId workspace, Route route) {
    return priorities.getOrDefault(workspace, route.traffic().priority());
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
    if (!request.hasWorkspace()) {
      return true;
    }
    Optional<WorkspaceId> workspace = workspace(request.head().key());
    workspace.ifPresent(
        found ->
            dependencies
                .monitor()
                .check(
                    Invariant.WORKSPACE_MATCHES_KEY,
                    found.equals(request.workspace()),
                    "request=" + request.head().id()));
    return workspace.filter(request.workspace()::equals).isPresent()
        || (workspace.isEmpty() && request.route().traffic().keyless());
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
  public void dispatchWaiting(ServiceName service) {
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
