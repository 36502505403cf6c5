package org.kumquatvane.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.admission.FairAdmissionQueue;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.RouteTraffic;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.ejection.CrashGuard;
import org.kumquatvane.ejection.NoEjection;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.keys.KeyTable;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationLedger;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.retries.FixedRetry;
import org.kumquatvane.retries.FullRequestDeadline;
import org.kumquatvane.retries.RetryRules;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.InstancePool;
import org.kumquatvane.selection.InstanceStatus;
import org.kumquatvane.selection.Reservation;
import org.kumquatvane.selection.RoundRobinSelection;
import org.kumquatvane.selection.SlotRequirements;
import org.kumquatvane.selection.TrackedInstancePool;
import org.kumquatvane.testing.DirectWorkerPool;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/** An engine in simulated time with two instances with one slot each and one workspace. */
final class EngineFixture {
  static final ServiceName SERVICE = new ServiceName("rota");
  static final WorkspaceId WORKSPACE = new WorkspaceId("digester");
  static final KeyDigest KEY = KeyDigest.ofKey("key");
  static final Duration TIMEOUT = Duration.ofSeconds(2);

  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final RecordingCounters counters = new RecordingCounters();
  final Set<KeyDigest> acceptedKeys = new HashSet<>(Set.of(KEY));
  final List<String> events = new ArrayList<>();
  final List<OperationResult> operationResults = new ArrayList<>();
  final Set<RequestFingerprint> crashedInstanceReports = new HashSet<>();
  LimitDecision limitDecision = new LimitDecision.Admitted();
  BeginVerdict beginVerdict = new BeginVerdict.Proceed();
  boolean fingerprintBlocked;
  final RequestEngine engine;
  final TrackedInstancePool instances;
  final List<SlotRequirements> slotRequests = new ArrayList<>();

  EngineFixture() {
    DocumentRouteTable routes = new DocumentRouteTable();
    FairAdmissionQueue queue = new FairAdmissionQueue(clock);
    NoEjection health = new NoEjection();
    instances =
        new TrackedInstancePool(
            clock, health, mode -> new RoundRobinSelection(), new FailingInvariantMonitor());
    RetryRules rules = new RetryRules(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    engine =
        new RequestEngine(
            new EngineDependencies(
                clock,
                new DirectWorkerPool(),
                scheduler,
                new AcceptedKeys(),
                routes,
                (workspace, deadline, decision) -> decision.accept(limitDecision),
                new ScriptedLedger(),
                queue,
                new RecordingPool(),
                health,
                new ScriptedCrashGuard(),
                new FixedRetry(rules),
                new FullRequestDeadline(),
                service -> 1,
                counters,
                (level, event, fields) -> events.add(event + " " + List.of(fields)),
                new FailingInvariantMonitor()),
            10);
    Document document = document();
    List.of(routes, queue, instances, engine)
        .forEach(listener -> listener.documentInForce(document));
    instances.update(List.of(instance("rota-1", 6001), instance("rota-2", 6002)));
  }

  private static Instance instance(String name, int port) {
    return new Instance(
        new InstanceId(name),
        SERVICE,
        new SocketEndpoint("127.0.0.1", port),
        new FailureDomain("a"),
        false);
  }

  private static Document document() {
    Service service =
        new Service(
            SERVICE,
            new InstanceCapacity(1, 10, Duration.ZERO),
            new QueuePolicy(2, 2),
            SelectionMode.ROUND_ROBIN,
            new EjectionSettings(
                EjectionProfile.NONE, 50, Duration.ofSeconds(1), Duration.ofSeconds(1)),
            new RetrySettings(RetryMode.FIXED, 3, 10, Duration.ofMillis(10)));
    return new Document(
        1,
        "digest",
        new FleetPolicy(1, LimitMechanism.STATIC_DIVISION),
        List.of(new Workspace(WORKSPACE, List.of(KEY), new RateLimit(10, 10))),
        List.of(service),
        List.of(
            route("look-up", "GET", "/rota/**", true, IdempotencyKeyRule.IGNORED, true),
            route("booking", "POST", "/rota/bookings", false, IdempotencyKeyRule.REQUIRED, true),
            route("report", "POST", "/rota/reports", false, IdempotencyKeyRule.IGNORED, true),
            route("private", "GET", "/private", true, IdempotencyKeyRule.IGNORED, false),
            routeWithTwoAttempts()));
  }

  /** An idempotent route that allows at most two attempts per request. */
  private static Route routeWithTwoAttempts() {
    return new Route(
        new RouteId("two-attempts"),
        SERVICE,
        Set.of("GET"),
        "/two",
        true,
        IdempotencyKeyRule.IGNORED,
        true,
        List.of(),
        TIMEOUT,
        1_000,
        new RouteTraffic("", false, List.of(), 2, Duration.ZERO, 0));
  }

  private static Route route(
      String name,
      String method,
      String path,
      boolean idempotent,
      IdempotencyKeyRule rule,
      boolean open) {
    return new Route(
        new RouteId(name),
        SERVICE,
        Set.of(method),
        path,
        idempotent,
        rule,
        open,
        List.of(),
        TIMEOUT,
        1_000);
  }

  CallerRequest request(String method, String path, Optional<String> idempotencyKey) {
    return new CallerRequest(
        new RequestId("request"),
        method,
        path,
        new PresentedKey.Present(KEY),
        idempotencyKey,
        Optional.empty(),
        clock.monotonicNanos());
  }

  RunningRequest run(CallerRequest request, ScriptedExchange exchange) {
    Authorization.Granted granted = (Authorization.Granted) engine.authorize(request);
    return engine.run(granted.request(), new BodyDescription(true, "body"), exchange);
  }

  RunningRequest lookUp(ScriptedExchange exchange) {
    return run(request("GET", "/rota/1", Optional.empty()), exchange);
  }

  RunningRequest book(ScriptedExchange exchange) {
    return run(request("POST", "/rota/bookings", Optional.of("key-1")), exchange);
  }

  /** Records the slot requirements of requests. */
  private final class RecordingPool implements InstancePool {
    @Override
    public Optional<Reservation> reserve(ServiceName service, Set<InstanceId> excluded) {
      return instances.reserve(service, excluded);
    }

    @Override
    public Optional<Reservation> reserve(ServiceName service, SlotRequirements need) {
      slotRequests.add(need);
      return reserve(service, need.excluded());
    }

    @Override
    public void release(Reservation reservation) {
      instances.release(reservation);
    }

    @Override
    public boolean hasInstance(ServiceName service) {
      return instances.hasInstance(service);
    }

    @Override
    public void update(Collection<Instance> newest) {
      instances.update(newest);
    }

    @Override
    public boolean markLeaving(ServiceName service, InstanceId instance) {
      return instances.markLeaving(service, instance);
    }

    @Override
    public void avoidUntil(ServiceName service, InstanceId instance, Deadline until) {
      instances.avoidUntil(service, instance, until);
    }

    @Override
    public List<InstanceStatus> status() {
      return instances.status();
    }
  }

  private final class AcceptedKeys implements KeyTable {
    @Override
    public Optional<WorkspaceId> find(KeyDigest digest) {
      return acceptedKeys.contains(digest) ? Optional.of(WORKSPACE) : Optional.empty();
    }

    @Override
    public void withdraw(KeyDigest digest, long generation) {
      acceptedKeys.remove(digest);
    }
  }

  private final class ScriptedLedger implements OperationLedger {
    @Override
    public void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict) {
      verdict.accept(beginVerdict);
    }

    @Override
    public void finish(Operation operation, OperationResult result) {
      operationResults.add(result);
    }
  }

  private final class ScriptedCrashGuard implements CrashGuard {
    @Override
    public boolean isBlocked(RequestFingerprint fingerprint) {
      return fingerprintBlocked;
    }

    @Override
    public void recordInstanceLoss(RequestFingerprint fingerprint, InstanceId instance) {
      crashedInstanceReports.add(fingerprint);
    }
  }
}
