package org.kumquatvane.server.internal;

import java.util.List;
import org.kumquatvane.admission.FairAdmissionQueue;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.ejection.CrashReport;
import org.kumquatvane.ejection.SharedCrashGuard;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.keys.CompactKeyTable;
import org.kumquatvane.limits.FleetDemandLimiter;
import org.kumquatvane.limits.LimitSlack;
import org.kumquatvane.operations.DisabledOperationLedger;
import org.kumquatvane.retries.FixedRetry;
import org.kumquatvane.retries.FleetRetryBudget;
import org.kumquatvane.retries.LatencyModelDeadline;
import org.kumquatvane.retries.RetryRules;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.selection.FleetInstancePool;
import org.kumquatvane.selection.InstanceActivity;
import org.kumquatvane.settings.EntrySettings;
import org.kumquatvane.settings.RetryBudgetSettings;

/** The decision tables of an entry VM, joined by the engine. */
public final class EntryDecisionComponents {
  /** Requests that one VM works on at once: far more than its part of all slots and queues. */
  private static final int MAXIMUM_IN_FLIGHT = 1_000;

  /** Connections of one VM to one instance: more than an instance has slots. */
  private static final int MAXIMUM_CONNECTIONS_PER_INSTANCE = 4;

  private final ProcessRuntime runtime;
  private final CompactKeyTable keys = new CompactKeyTable();
  private final DocumentRouteTable routes = new DocumentRouteTable();
  private final FleetDemandLimiter limiter;
  private final FairAdmissionQueue queue;
  private final FleetInstancePool instances;
  private final RequestEngine engine;

  /**
   * Creates the tables and registers their peer messages.
   *
   * @param settings settings of the VM
   * @param runtime threads, time and telemetry
   * @param fleet the other VMs
   */
  public EntryDecisionComponents(
      EntrySettings settings, ProcessRuntime runtime, EntryFleetComponents fleet) {
    this.runtime = runtime;
    limiter =
        new FleetDemandLimiter(
            fleet.membership().self(),
            fleet::limitCoordinators,
            fleet.membership()::possibleVms,
            new LimitSlack(settings.limitSlack().overage(), settings.limitSlack().requests()),
            fleet.network(),
            runtime.clock(),
            runtime.scheduler(),
            runtime.counters(),
            runtime.eventLog());
    limiter.registerHandlers(fleet.dispatcher());
    queue = new FairAdmissionQueue(runtime.clock());
    instances =
        new FleetInstancePool(
            fleet.membership().self(),
            runtime.clock(),
            runtime.scheduler(),
            Randomness.create(),
            settings.failureDomain(),
            fleet.membership()::localPeers,
            fleet.network(),
            this::dispatchWaiting,
            runtime.clock().epochMillis());
    fleet.dispatcher().register(InstanceActivity.class, instances);
    SharedCrashGuard crashGuard =
        new SharedCrashGuard(
            runtime.clock(),
            fleet.membership()::allPeers,
            fleet.network(),
            runtime.counters(),
            runtime.eventLog());
    fleet.dispatcher().register(CrashReport.class, crashGuard);
    RetryBudgetSettings budget = settings.retryBudget();
    engine =
        new RequestEngine(
            new EngineDependencies(
                runtime.clock(),
                runtime.workers(),
                runtime.scheduler(),
                keys,
                routes,
                limiter,
                new DisabledOperationLedger(),
                queue,
                instances,
                instances,
                crashGuard,
                new FleetRetryBudget(
                    new FixedRetry(new RetryRules(runtime.clock(), Randomness.create())),
                    new FleetRetryBudget.Limits(budget.ratio(), budget.fixed(), budget.window()),
                    fleet.membership()::possibleVms,
                    runtime.clock(),
                    runtime.counters()),
                new LatencyModelDeadline(runtime.clock(), instances::responseProbability),
                service -> MAXIMUM_CONNECTIONS_PER_INSTANCE,
                runtime.counters(),
                runtime.eventLog(),
                runtime.monitor()),
            MAXIMUM_IN_FLIGHT);
  }

  private void dispatchWaiting(ServiceName service) {
    runtime.workers().resume(() -> engine.dispatchWaiting(service));
  }

  /**
   * Returns everything that follows the document, in the order in which it is told.
   *
   * @return the listeners
   */
  public List<DocumentListener> documentListeners() {
    return List.of(keys, routes, limiter, queue, instances, engine);
  }

  /** Starts the periodic work. */
  public void start() {
    limiter.start();
  }

  /**
   * Returns the engine.
   *
   * @return decides about requests
   */
  public RequestEngine engine() {
    return engine;
  }

  /**
   * Returns the instance pool.
   *
   * @return instances and their slots
   */
  public FleetInstancePool instances() {
    return instances;
  }
}
