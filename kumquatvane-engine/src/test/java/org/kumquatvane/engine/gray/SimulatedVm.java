package org.kumquatvane.engine.gray;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.kumquatvane.admission.FairAdmissionQueue;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.ejection.CrashReport;
import org.kumquatvane.ejection.Eligibility;
import org.kumquatvane.ejection.InstanceEvidence;
import org.kumquatvane.ejection.InstanceHealth;
import org.kumquatvane.ejection.NoEjection;
import org.kumquatvane.ejection.OutlierDetector;
import org.kumquatvane.ejection.SharedCrashGuard;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.Exchange;
import org.kumquatvane.engine.FleetConnectionShare;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.keys.KeyTable;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.operations.BeginVerdict;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationLedger;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.retries.BudgetedRetry;
import org.kumquatvane.retries.FixedRetry;
import org.kumquatvane.retries.FullRequestDeadline;
import org.kumquatvane.retries.NoRetry;
import org.kumquatvane.retries.ObservedLatencyDeadline;
import org.kumquatvane.retries.RetryRules;
import org.kumquatvane.retries.ServiceRetryPolicy;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.selection.AdaptiveSlotLimit;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.NoSlotLimit;
import org.kumquatvane.selection.RoundRobinSelection;
import org.kumquatvane.selection.TrackedInstancePool;
import org.kumquatvane.selection.TwoChoicesSelection;
import org.kumquatvane.testing.DirectWorkerPool;
import org.kumquatvane.testing.DiscardingEventLog;

/** One VM with the real engine and policies over a simulated network. */
final class SimulatedVm {
  private final VmId id;
  private final InstanceHealth health;
  private final TrackedInstancePool pool;
  private final RequestEngine engine;
  private final Simulation simulation;

  SimulatedVm(Simulation simulation, int number, List<VmId> ids) {
    this.simulation = simulation;
    id = ids.get(number);
    PolicySet policies = simulation.scenario.policies();
    List<VmId> peers = ids.stream().filter(other -> !other.equals(id)).toList();
    Counters counters = new AttemptCounters(simulation);
    InvariantMonitor monitor = (invariant, detail) -> simulation.result.floorViolations++;
    DiscardingEventLog log = new DiscardingEventLog();
    SharedCrashGuard crashGuard =
        new SharedCrashGuard(
            simulation.clock, () -> peers, simulation.network.sender(id), counters, log);
    OutlierDetector outlierDetector =
        new OutlierDetector(
            id,
            simulation.clock,
            simulation.scheduler,
            () -> peers,
            simulation.network.sender(id),
            counters,
            log,
            monitor);
    outlierDetector.documentInForce(simulation.document);
    simulation.network.connect(
        id,
        (from, message) -> {
          if (message instanceof InstanceEvidence evidence) {
            outlierDetector.handle(from, evidence);
          } else if (message instanceof CrashReport report) {
            crashGuard.handle(from, report);
          }
        });
    if (policies.profile() == EjectionProfile.NONE) {
      health = new NoEjection();
    } else {
      health = outlierDetector;
      outlierDetector.start();
    }
    pool =
        new TrackedInstancePool(
            simulation.clock,
            health,
            mode ->
                mode == SelectionMode.ROUND_ROBIN
                    ? new RoundRobinSelection()
                    : new TwoChoicesSelection(simulation.random, policies.localPreference()),
            () ->
                policies.limitsSlots()
                    ? new AdaptiveSlotLimit(simulation.clock)
                    : new NoSlotLimit(),
            monitor,
            Simulation.domain(number));
    pool.documentInForce(simulation.document);
    FairAdmissionQueue queue = new FairAdmissionQueue(simulation.clock);
    queue.documentInForce(simulation.document);
    DocumentRouteTable routes = new DocumentRouteTable();
    routes.documentInForce(simulation.document);
    RetryRules rules = new RetryRules(simulation.clock, simulation.random);
    FixedRetry fixedRetry = new FixedRetry(rules);
    FleetConnectionShare share = new FleetConnectionShare();
    share.documentInForce(simulation.document);
    engine =
        new RequestEngine(
            new EngineDependencies(
                simulation.clock,
                new DirectWorkerPool(),
                simulation.scheduler,
                new WorkspaceKeys(),
                routes,
                (workspace, deadline, decision) -> decision.accept(new LimitDecision.Admitted()),
                new ProceedingLedger(),
                queue,
                pool,
                health,
                crashGuard,
                new ServiceRetryPolicy(
                    new NoRetry(), fixedRetry, new BudgetedRetry(fixedRetry, counters)),
                policies.attemptDeadlines()
                    ? new ObservedLatencyDeadline(simulation.clock)
                    : new FullRequestDeadline(),
                share,
                counters,
                log,
                monitor),
            10_000);
    engine.documentInForce(simulation.document);
  }

  VmId id() {
    return id;
  }

  void applyVmList(VmList list) {
    if (health instanceof OutlierDetector outlierDetector) {
      outlierDetector.vmListChanged(list);
    }
    pool.update(list.backendVms().stream().map(SimulatedVm::instance).toList());
  }

  private static Instance instance(BackendVm vm) {
    return new Instance(
        vm.id(), vm.service(), vm.address(), vm.failureDomain(), vm.state() == VmState.LEAVING);
  }

  List<InstanceId> ejectedInstances(Collection<InstanceId> instances) {
    return health.hasEjections(SimulationDocument.SERVICE)
        ? instances.stream()
            .filter(
                instance ->
                    health.eligibility(SimulationDocument.SERVICE, instance)
                        != Eligibility.ELIGIBLE)
            .toList()
        : List.of();
  }

  void run(AuthorizedRequest request, BodyDescription body, Exchange exchange) {
    engine.run(request, body, exchange);
  }

  private final class WorkspaceKeys implements KeyTable {
    @Override
    public Optional<WorkspaceId> find(KeyDigest digest) {
      for (int workspace = 0; workspace < simulation.keys.length; workspace++) {
        if (simulation.keys[workspace].equals(digest)) {
          return Optional.of(new WorkspaceId("w" + workspace));
        }
      }
      return Optional.empty();
    }

    @Override
    public void withdraw(KeyDigest digest, long generation) {}
  }

  private static final class ProceedingLedger implements OperationLedger {
    @Override
    public void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict) {
      verdict.accept(new BeginVerdict.Proceed());
    }

    @Override
    public void finish(Operation operation, OperationResult result) {}
  }
}
