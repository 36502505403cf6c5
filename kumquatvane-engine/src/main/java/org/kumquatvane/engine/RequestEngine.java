package org.kumquatvane.engine;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

/** Processes a caller's request up to its response, independent of the front end's protocol. */
public final class RequestEngine implements DocumentListener {
  private final EngineDependencies dependencies;
  private final SlotDispatcher dispatcher;
  private final int maximumInFlight;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Map<ServiceName, Service> services = Map.of();
  private volatile Map<WorkspaceId, Integer> priorities = Map.of();
  private final Set<RequestFlow> flows = ConcurrentHashMap.newKeySet();
  private volatile @Nullable StopSchedule stopSchedule;
  private volatile boolean configured;

  /**
   * Times of a planned stop.
   *
   * @param lastArrival time from which on requests are refused
   * @param end time by which all requests have ended
   */
  private record StopSchedule(Deadline lastArrival, Deadline end) {}

  /**
   * Creates an engine without services.
   *
   * @param dependencies tables and policies
   * @param maximumInFlight maximum number of requests in progress on this VM, including queued ones
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
   * Checks key, route and permission. Must be called on the worker pool, before the body is read.
   *
   * @param request head of the request
   * @return the authorized request, or the refusal
   */
  public Authorization authorize(CallerRequest request) {
    if (!configured) {
      return denied(Reason.NOT_READY, "no document is in force yet");
    }
    if (refusesArrivals()) {
      return denied(Reason.NOT_READY, "this VM stops");
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
      return denied(Reason.ROUTE_NOT_FOUND, "no route matches this path");
    }
    if (!(match instanceof RouteMatch.Found found)) {
      return denied(Reason.METHOD_NOT_ALLOWED, "no route for this path accepts this method");
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
      return denied(Reason.NO_INSTANCE, "service " + chosen + " is not configured");
    }
    Deadline deadline = deadline(request, route);
    if (deadline.isReached(dependencies.clock())) {
      return denied(
          Reason.DEADLINE_PASSED_WAITING, "the deadline passed before the request started");
    }
    return new Authorization.Granted(
        new AuthorizedRequest(
            request, workspace, route, service, priority(workspace, route), deadline));
  }

  /** The priority of the workspace overrides the priority of the route. */
  private int priority(WorkspaceId workspace, Route route) {
    return priorities.getOrDefault(workspace, route.traffic().priority());
  }

  private boolean refusesArrivals() {
    StopSchedule stop = stopSchedule;
    return stop != null && stop.lastArrival().isReached(dependencies.clock());
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
   * Runs an authorized request. Must be called on the worker pool.
   *
   * @param request the request
   * @param body properties of its body
   * @param exchange connection to the front end
   * @return handle to report that the caller has disconnected
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
        new RequestFlow(dependencies, dispatcher, request, body, exchange, this::onEnd);
    flows.add(flow);
    StopSchedule stop = stopSchedule;
    if (stop != null) {
      flow.endBy(stop.end());
    }
    flow.start();
    return flow;
  }

  private void onEnd(RequestFlow flow) {
    flows.remove(flow);
    inFlight.decrementAndGet();
  }

  /**
   * Prepares a planned stop. Each request gets its answer before the end: one that can no longer
   * start in time is refused, and one at an instance is given up at the end.
   *
   * @param lastArrival time from which on requests are refused
   * @param end time by which all requests have ended; earlier than the end of the process
   */
  public void stop(Deadline lastArrival, Deadline end) {
    stopSchedule = new StopSchedule(lastArrival, end);
    flows.forEach(flow -> flow.endBy(end));
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
   * Assigns free slots to queued requests. Must be called when the instances of a service change.
   *
   * @param service the service
   */
  public void dispatchWaiting(ServiceName service) {
    dispatcher.dispatch(service);
  }

  /**
   * Returns how many requests are in flight.
   *
   * @return number of queued and running requests
   */
  public int inFlight() {
    return inFlight.get();
  }
}
