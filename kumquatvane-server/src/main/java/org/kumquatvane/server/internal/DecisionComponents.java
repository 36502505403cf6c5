package org.kumquatvane.server.internal;

import java.util.List;
import org.kumquatvane.admission.FairAdmissionQueue;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.ejection.CrashReport;
import org.kumquatvane.ejection.InstanceEvidence;
import org.kumquatvane.ejection.OutlierDetector;
import org.kumquatvane.ejection.SharedCrashGuard;
import org.kumquatvane.engine.EngineDependencies;
import org.kumquatvane.engine.FleetConnectionShare;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.keys.CompactKeyTable;
import org.kumquatvane.limits.DocumentRateLimiter;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.limits.LeasedShareLimiter;
import org.kumquatvane.limits.StaticDivisionLimiter;
import org.kumquatvane.operations.OperationSettings;
import org.kumquatvane.operations.ReplicatedOperationLedger;
import org.kumquatvane.retries.ObservedLatencyDeadline;
import org.kumquatvane.routing.DocumentRouteTable;
import org.kumquatvane.selection.AdaptiveSlotLimit;
import org.kumquatvane.selection.RoundRobinSelection;
import org.kumquatvane.selection.SelectionPolicy;
import org.kumquatvane.selection.TrackedInstancePool;
import org.kumquatvane.selection.TwoChoicesSelection;
import org.kumquatvane.settings.Settings;

/** Creates and connects the engine and the components it uses. */
public final class DecisionComponents implements AutoCloseable {
  private final CompactKeyTable keys = new CompactKeyTable();
  private final DocumentRouteTable routes = new DocumentRouteTable();
  private final LeasedShareLimiter shares;
  private final DocumentRateLimiter limiter;
  private final ReplicatedOperationLedger ledger;
  private final FleetConnectionShare connectionShare = new FleetConnectionShare();
  private final FairAdmissionQueue queue;
  private final OutlierDetector health;
  private final TrackedInstancePool instances;
  private final RequestEngine engine;

  /**
   * Creates the components and registers their handlers for peer messages.
   *
   * @param settings settings of the VM
   * @param runtime threads, clock and telemetry
   * @param fleet network and membership of the fleet
   */
  public DecisionComponents(Settings settings, ProcessRuntime runtime, FleetComponents fleet) {
    LeaseSettings defaults = LeaseSettings.defaults();
    LeaseSettings leases =
        new LeaseSettings(
            settings.fleetTimings().floorLease(),
            defaults.lease(),
            defaults.renewal(),
            defaults.minimumTokenHold());
    shares =
        new LeasedShareLimiter(
            runtime.clock(),
            runtime.scheduler(),
            fleet.network(),
            fleet.membership(),
            runtime.monitor(),
            leases);
    shares.registerHandlers(fleet.dispatcher());
    limiter =
        new DocumentRateLimiter(
            runtime.clock(), new StaticDivisionLimiter(runtime.clock()), shares, leases);
    queue = new FairAdmissionQueue(runtime.clock());
    ledger =
        new ReplicatedOperationLedger(
            runtime.clock(),
            runtime.scheduler(),
            fleet.network(),
            fleet.membership(),
            runtime.monitor(),
            new OperationSettings(
                settings.fleetTimings().operationRetention(),
                OperationSettings.defaults().maximumRecords(),
                settings.fleetTimings().clockSkew()));
    ledger.registerHandlers(fleet.dispatcher());
    health =
        new OutlierDetector(
            settings.vmId(),
            runtime.clock(),
            runtime.scheduler(),
            fleet::peers,
            fleet.network(),
            runtime.counters(),
            runtime.eventLog(),
            runtime.monitor());
    SharedCrashGuard crashGuard =
        new SharedCrashGuard(
            runtime.clock(), fleet::peers, fleet.network(), runtime.counters(), runtime.eventLog());
    fleet.dispatcher().register(InstanceEvidence.class, health);
    fleet.dispatcher().register(CrashReport.class, crashGuard);
    instances =
        new TrackedInstancePool(
            runtime.clock(),
            health,
            DecisionComponents::selection,
            () -> new AdaptiveSlotLimit(runtime.clock()),
            runtime.monitor(),
            settings.failureDomain());
    engine =
        new RequestEngine(
            new EngineDependencies(
                runtime.clock(),
                runtime.workers(),
                runtime.scheduler(),
                keys,
                routes,
                limiter,
                ledger,
                queue,
                instances,
                health,
                crashGuard,
                RetryPolicies.create(runtime.clock(), Randomness.create(), runtime.counters()),
                new ObservedLatencyDeadline(runtime.clock()),
                connectionShare,
                runtime.counters(),
                runtime.eventLog(),
                runtime.monitor()),
            settings.requestLimits().maximumInFlight());
  }

  private static SelectionPolicy selection(SelectionMode mode) {
    return switch (mode) {
      case ROUND_ROBIN -> new RoundRobinSelection();
      case TWO_CHOICES -> new TwoChoicesSelection(Randomness.create());
    };
  }

  /**
   * Returns the components that apply new documents, in the order of notification.
   *
   * @return the listeners
   */
  public List<DocumentListener> documentListeners() {
    return List.of(
        keys, routes, limiter, ledger, connectionShare, queue, health, instances, engine);
  }

  /** Starts the periodic tasks. */
  public void start() {
    health.start();
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
  public TrackedInstancePool instances() {
    return instances;
  }

  /**
   * Returns the outlier detector.
   *
   * @return the outlier detector
   */
  public OutlierDetector health() {
    return health;
  }

  /**
   * Returns the key table.
   *
   * @return the key table
   */
  public CompactKeyTable keys() {
    return keys;
  }

  /**
   * Returns the fraction of each workspace's rate and burst that this VM owns.
   *
   * @return the fraction, from 0 to 1
   */
  public double ownedFraction() {
    return shares.ownedFraction();
  }

  /** Transfers the operation records to the other VMs before this VM leaves the fleet. */
  public void handOver() {
    ledger.handOver();
  }

  @Override
  public void close() {
    shares.close();
  }
}
