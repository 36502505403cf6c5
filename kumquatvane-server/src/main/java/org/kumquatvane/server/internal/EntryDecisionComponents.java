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

/** Creates and connects the engine of an entry VM and the components it uses. */
public final class EntryDecisionComponents {
  /**
   * Maximum number of concurrent requests of a VM; far more than its share of all slots and queues.
   */
  private static final int MAXIMUM_IN_FLIGHT = 1_000;

  /** Maximum number of connections of a VM to one instance; more than an instance has slots. */
  private static final int MAXIMUM_CONNECTIONS_PER_INSTANCE = 4;

  private final ProcessRuntime runtime;
  private final CompactKeyTable keys = new CompactKeyTable();
  private final DocumentRouteTable routes = new DocumentRouteTable();
  private final FleetDemandLimiter limiter;
  private final FairAdmissionQueue queue;
  private final FleetInstancePool instances;
  private final RequestEngine engine;

  /**
   * Creates the components and registers their handlers for peer messages.
   *
   * @param settings settings of the VM
   * @param runtime threads, clock and telemetry
   * @param fleet network and membership of the entry VMs
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
   * Returns the components that apply new documents, in the order of notification.
   *
   * @return the listeners
   */
  public List<DocumentListener> documentListeners() {
    return List.of(keys, routes, limiter, queue, instances, engine);
  }

  /** Starts the periodic tasks. */
  public void start() {
    limiter.start();
  }

  /**
   * Returns the engine.
   *
   * @return the engine
   */
  public RequestEngine engine() {
    return engine;
  }

  /**
   * Returns the instance pool.
   *
   * @return the instance pool
   */
  public FleetInstancePool instances() {
    return instances;
  }
}
