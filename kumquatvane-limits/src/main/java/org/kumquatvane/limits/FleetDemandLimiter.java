package org.kumquatvane.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.limits.internal.FleetDemand;
import org.kumquatvane.limits.internal.LocalDemand;

/**
 * Limits workspaces across the fleet by telling every VM which part of its requests it may admit.
 *
 * <p>VMs report their demand to a coordinator, which keeps one token bucket for each workspace over
 * the whole fleet. While a workspace stays within its rate, no request is refused wherever it
 * arrives; above it, each VM admits the same part of what arrives there. The bound is kept but for
 * what comes within one report interval. A coordinator gives out only the part of the rate that
 * belongs to the VMs that report to it, and a VM without a coordinator uses its own part, so that
 * two sides of a split fleet do not add up to more than the rate.
 */
public final class FleetDemandLimiter implements RateLimiter, DocumentListener {
  /** Interval of the reports; the demand that an interval lets through is within the slack. */
  private static final Duration INTERVAL = Duration.ofMillis(300);

  /** Time for which shares and demands hold; three lost reports. */
  private static final Duration LIFE = Duration.ofMillis(1_200);

  /** What a refused caller is told: the time in which the fraction follows the demand. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final VmId self;
  private final Supplier<List<VmId>> coordinators;
  private final IntSupplier possibleVms;
  private final LimitSlack slack;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog eventLog;
  private final Map<WorkspaceId, LocalDemand> local = new HashMap<>();
  private final Map<WorkspaceId, FleetDemand> fleet = new HashMap<>();
  private final Map<VmId, Deadline> reporters = new HashMap<>();
  private Deadline shareValidUntil;
  private Deadline nextCoordinator;
  private int coordinatorPlace;
  private long lastReportNanos;
  private boolean isAlone = true;

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param self this VM
   * @param coordinators live VMs, this one included, in the order in which they coordinate
   * @param possibleVms number of VMs that may be running
   * @param slack what the users allow beyond rate and burst
   * @param sender sends to other VMs
   * @param clock clock of the deadlines
   * @param scheduler runs the reports
   * @param counters counts reports
   * @param eventLog receives the loss and return of the coordinator
   */
  public FleetDemandLimiter(
      VmId self,
      Supplier<List<VmId>> coordinators,
      IntSupplier possibleVms,
      LimitSlack slack,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      Counters counters,
      EventLog eventLog) {
    this.self = self;
    this.coordinators = coordinators;
    this.possibleVms = possibleVms;
    this.slack = slack;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    this.eventLog = eventLog;
    lastReportNanos = clock.monotonicNanos();
    shareValidUntil = new Deadline(lastReportNanos);
    nextCoordinator = new Deadline(lastReportNanos);
  }

  /**
   * Registers the handlers of the messages.
   *
   * @param dispatcher hands received messages over
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(DemandReport.class, this::reported);
    dispatcher.register(DemandShare.class, this::shared);
  }

  /** Starts to report. */
  public void start() {
    report();
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(
        () -> {
          Set<WorkspaceId> present = new HashSet<>();
          for (Workspace workspace : document.workspaces()) {
            present.add(workspace.id());
            local
                .computeIfAbsent(workspace.id(), unused -> new LocalDemand(workspace.rate()))
                .setLimit(workspace.rate());
          }
          local.keySet().retainAll(present);
          fleet.keySet().retainAll(present);
        });
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    int vms = possibleVms.getAsInt();
    decision.accept(lock.call(() -> decide(workspace, vms)));
  }

  private LimitDecision decide(WorkspaceId workspace, int vms) {
    @Nullable LocalDemand demand = local.get(workspace);
    if (demand == null) {
      return new LimitDecision.Unsettled();
    }
    if (demand.limit().isUnlimited()) {
      return new LimitDecision.Admitted();
    }
    boolean alone = shareValidUntil.isReached(clock);
    boolean admitted =
        alone
            ? demand.admitAlone(1.0 / vms, clock.monotonicNanos())
            : demand.admitByFraction(clock);
    return admitted
        ? new LimitDecision.Admitted()
        : new LimitDecision.RateLimited(
            RETRY_AFTER, demand.basis() + (alone ? " alone=true vms=" + vms : " alone=false"));
  }

  private void report() {
    List<VmId> order = coordinators.get();
    int vms = possibleVms.getAsInt();
    List<DemandReport> reports = new ArrayList<>();
    Optional<VmId> coordinator = lock.call(() -> prepareReport(order, reports));
    if (coordinator.isPresent() && coordinator.get().equals(self)) {
      apply(lock.call(() -> coordinate(self, reports.get(0), vms)));
    } else if (coordinator.isPresent()) {
      counters.add("limits.reports", 1);
      sender.send(coordinator.get(), reports.get(0));
    }
    scheduler.schedule(Deadline.after(clock, INTERVAL), this::report);
  }

  private Optional<VmId> prepareReport(List<VmId> order, List<DemandReport> reports) {
    long now = clock.monotonicNanos();
    double seconds = (now - lastReportNanos) / 1e9;
    lastReportNanos = now;
    List<DemandReport.Demand> demands = new ArrayList<>();
    local.forEach(
        (workspace, demand) -> {
          boolean active = demand.isActive() && !demand.limit().isUnlimited();
          LocalDemand.Counted counted = demand.take(seconds);
          if (active) {
            demands.add(new DemandReport.Demand(workspace, counted.arrived(), counted.admitted()));
          }
        });
    reports.add(new DemandReport(demands));
    noteLoss();
    if (order.isEmpty()) {
      return Optional.empty();
    }
    if (isAlone && nextCoordinator.isReached(clock)) {
      coordinatorPlace++;
      nextCoordinator = Deadline.after(clock, LIFE);
    } else if (!isAlone) {
      nextCoordinator = Deadline.after(clock, LIFE);
    }
    return Optional.of(order.get(coordinatorPlace % order.size()));
  }

  private void noteLoss() {
    if (!isAlone && shareValidUntil.isReached(clock)) {
      isAlone = true;
      eventLog.record(
          EventLog.Level.WARNING, "limit_coordinator_lost", LogField.of("place", coordinatorPlace));
    }
  }

  private void reported(VmId from, DemandReport report) {
    int vms = possibleVms.getAsInt();
    sender.send(from, lock.call(() -> coordinate(from, report, vms)));
  }

  private DemandShare coordinate(VmId from, DemandReport report, int vms) {
    reporters.values().removeIf(until -> until.isReached(clock));
    reporters.put(from, Deadline.after(clock, LIFE));
    double part = Math.min(1, (double) reporters.size() / Math.max(1, vms));
    List<DemandShare.Share> shares = new ArrayList<>();
    for (DemandReport.Demand demand : report.demands()) {
      @Nullable LocalDemand known = local.get(demand.workspace());
      if (known == null || known.limit().isUnlimited()) {
        continue;
      }
      RateLimit limit = slack.extend(known.limit(), part);
      FleetDemand total =
          fleet.computeIfAbsent(demand.workspace(), unused -> new FleetDemand(clock));
      total.report(demand.arrived(), demand.admitted(), limit);
      shares.add(
          new DemandShare.Share(demand.workspace(), total.fraction(limit), total.perSecond()));
    }
    return new DemandShare(shares);
  }

  private void shared(VmId from, DemandShare message) {
    apply(message);
  }

  private void apply(DemandShare message) {
    boolean regained =
        lock.call(
            () -> {
              for (DemandShare.Share share : message.shares()) {
                @Nullable LocalDemand demand = local.get(share.workspace());
                if (demand != null && share.fraction() >= 0 && share.fraction() <= 1) {
                  demand.setShare(share.fraction(), share.fleetRate(), Deadline.after(clock, LIFE));
                }
              }
              shareValidUntil = Deadline.after(clock, LIFE);
              boolean wasAlone = isAlone;
              isAlone = false;
              return wasAlone;
            });
    if (regained) {
      eventLog.record(
          EventLog.Level.INFO,
          "limit_coordinator_found",
          LogField.of("place", lock.call(() -> coordinatorPlace)));
    }
  }
}
