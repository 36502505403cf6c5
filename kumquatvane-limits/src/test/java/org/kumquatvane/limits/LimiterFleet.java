package org.kumquatvane.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.membership.testing.SimulatedFleet;
import org.kumquatvane.membership.testing.SimulatedMembership;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Simulated VMs with limiters, the network between them and the admission history of every
 * workspace.
 */
final class LimiterFleet {
  static final Duration CALLER_TIMEOUT = Duration.ofMillis(500);

  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final SimulatedFleet vms;
  final Map<VmId, DocumentRateLimiter> limiters = new TreeMap<>();
  final Map<WorkspaceId, AdmissionHistory> histories = new HashMap<>();
  private final LeaseSettings settings;
  private Document document;

  LimiterFleet(long seed, int maximumVmCount, LeaseSettings settings, Document document) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new SimulatedNetwork(clock, scheduler, random);
    vms = new SimulatedFleet(clock, scheduler, random, maximumVmCount);
    this.settings = settings;
    this.document = document;
    document
        .workspaces()
        .forEach(
            workspace -> histories.put(workspace.id(), new AdmissionHistory(workspace.rate(), 0)));
  }

  static Document document(
      long generation, int maximumVmCount, LimitMechanism mechanism, Map<String, RateLimit> rates) {
    List<Workspace> workspaces =
        new TreeMap<>(rates)
            .entrySet().stream()
                .map(entry -> new Workspace(id(entry.getKey()), List.of(), entry.getValue()))
                .toList();
    return new Document(
        generation,
        "digest" + generation,
        new FleetPolicy(maximumVmCount, mechanism),
        workspaces,
        List.of(),
        List.of());
  }

  static WorkspaceId id(String name) {
    return new WorkspaceId(name);
  }

  VmId start() {
    SimulatedMembership membership = vms.start();
    VmId vm = membership.self().id();
    LeasedShareLimiter leases =
        new LeasedShareLimiter(
            membership.time(),
            membership.time(),
            network.sender(vm),
            membership,
            new FailingInvariantMonitor(),
            settings);
    PeerDispatcher dispatcher = new PeerDispatcher();
    leases.registerHandlers(dispatcher);
    network.connect(
        vm,
        (from, message) -> membership.time().dispatch(() -> dispatcher.dispatch(from, message)));
    DocumentRateLimiter limiter =
        new DocumentRateLimiter(
            membership.time(), new StaticDivisionLimiter(membership.time()), leases, settings);
    limiter.documentInForce(document);
    limiters.put(vm, limiter);
    return vm;
  }

  void kill(VmId vm) {
    vms.kill(vm);
    network.disconnect(vm);
    limiters.remove(vm);
  }

  void proposeViewOfAllVms() {
    vms.requestView(new TreeSet<>(vms.alive()));
  }

  /** Brings a document into force on all VMs within the given time. */
  void distribute(Document next, Duration within) {
    document = next;
    for (Map.Entry<VmId, DocumentRateLimiter> entry : limiters.entrySet()) {
      Duration delay = Duration.ofNanos(random.nextLong(within.toNanos()));
      scheduler.schedule(
          Deadline.after(clock, delay),
          () -> {
            if (vms.alive().contains(entry.getKey())) {
              vms.member(entry.getKey())
                  .time()
                  .dispatch(() -> entry.getValue().documentInForce(next));
            }
          });
    }
  }

  void request(VmId vm, WorkspaceId workspace) {
    request(vm, workspace, (decision, arrived) -> {});
  }

  /**
   * Sends one request and passes the decision and the arrival time on the reference clock to the
   * observer.
   */
  void request(VmId vm, WorkspaceId workspace, BiConsumer<LimitDecision, Long> observer) {
    @Nullable DocumentRateLimiter limiter = limiters.get(vm);
    if (limiter == null) {
      return;
    }
    long arrived = clock.monotonicNanos();
    history(workspace).recordArrival(arrived);
    limiter.acquire(
        workspace,
        Deadline.after(vms.member(vm).time(), CALLER_TIMEOUT),
        decision -> {
          if (decision instanceof LimitDecision.Admitted) {
            history(workspace).recordAdmission(clock.monotonicNanos());
          }
          observer.accept(decision, arrived);
        });
  }

  AdmissionHistory history(WorkspaceId workspace) {
    AdmissionHistory history = histories.get(workspace);
    if (history == null) {
      throw new IllegalArgumentException("no workspace " + workspace);
    }
    return history;
  }

  VmId anyVm() {
    List<VmId> alive = new ArrayList<>(limiters.keySet());
    return alive.get(random.nextInt(alive.size()));
  }
}
