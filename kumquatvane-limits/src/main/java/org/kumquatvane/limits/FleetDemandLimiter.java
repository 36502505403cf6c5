package org.kumquatvane.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
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
import org.kumquatvane.limits.internal.FleetTokenBucket;
import org.kumquatvane.limits.internal.LocalDemand;

/**
 * Limits workspaces across the fleet by assigning every VM the fraction of its requests that it may
 * admit.
 *
 * <p>VMs report their demand to a coordinator, which keeps one fleet-wide token bucket per
 * workspace. While a workspace stays within its rate, no request is refused on any VM; above the
 * rate, every VM admits the same fraction of its arriving requests. The bound can be exceeded only
 * by requests that arrive within one report interval. A coordinator distributes only the fraction
 * of the rate that belongs to the VMs that report to it, and a VM without a coordinator uses its
 * own fraction, so that the two sides of a network partition together do not exceed the rate.
 *
 * <p>VMs learn of a document at different times. A report names the limits that the sender knows,
 * and a share the generation of the document whose limit it was computed from: the newest one that
 * the coordinator or a reporting VM knows. A VM ignores shares of an older limit, and takes a
 * missing share for a coordinator that cannot decide, not for a missing limit.
 */
public final class FleetDemandLimiter implements RateLimiter, DocumentListener {
  /** Report interval; the requests admitted within one interval are covered by the limit slack. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(300);

  /** Validity of shares and demand reports; covers three lost reports. */
  private static final Duration VALIDITY = Duration.ofMillis(1_200);

  /** Time for which the bucket of a workspace that only other VMs know is kept without reports. */
  private static final Duration FOREIGN_BUCKET_RETENTION = Duration.ofSeconds(60);

  /** Maximum number of shares in an answer beside those of the reported workspaces. */
  private static final int MAXIMUM_FURTHER_SHARES = 100;

  /** Retry delay for refused callers: the time in which the fraction adapts to the demand. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final VmId self;
  private final Supplier<List<VmId>> coordinatorOrder;
  private final IntSupplier possibleVms;
  private final LimitSlack slack;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog eventLog;
  private final Map<WorkspaceId, LocalDemand> localDemands = new HashMap<>();
  private final Map<WorkspaceId, FleetTokenBucket> fleetBuckets = new HashMap<>();
  private final Map<VmId, Reporter> reporters = new HashMap<>();

  /** Workspaces of which this VM, as the coordinator, lets only a part of the requests in. */
  private final Set<WorkspaceId> limitedWorkspaces = new LinkedHashSet<>();

  private long generation = DemandReport.NO_GENERATION;
  private Deadline shareValidUntil;
  private Deadline coordinatorSwitchDeadline;
  private int coordinatorIndex;
  private int mostPossibleVms;
  private long lastReportNanos;
  private boolean isWithoutCoordinator = true;

  /**
   * A VM that reports to this one.
   *
   * @param validUntil when it no longer counts
   * @param possibleVms number of VMs that may be running, as far as it knows
   */
  private record Reporter(Deadline validUntil, int possibleVms) {}

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param self this VM
   * @param coordinatorOrder live VMs including this one, in order of preference as coordinator
   * @param possibleVms number of VMs that may be running
   * @param slack overage allowed beyond rate and burst
   * @param sender sends messages to other VMs
   * @param clock clock of the deadlines
   * @param scheduler runs the reports
   * @param counters counts reports
   * @param eventLog receives events about the loss and recovery of the coordinator
   */
  public FleetDemandLimiter(
      VmId self,
      Supplier<List<VmId>> coordinatorOrder,
      IntSupplier possibleVms,
      LimitSlack slack,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      Counters counters,
      EventLog eventLog) {
    this.self = self;
    this.coordinatorOrder = coordinatorOrder;
    this.possibleVms = possibleVms;
    this.slack = slack;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    this.eventLog = eventLog;
    lastReportNanos = clock.monotonicNanos();
    shareValidUntil = new Deadline(lastReportNanos);
    coordinatorSwitchDeadline = new Deadline(lastReportNanos);
  }

  /**
   * Registers the handlers of the messages.
   *
   * @param dispatcher dispatches received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(DemandReport.class, this::onDemandReport);
    dispatcher.register(DemandShare.class, this::onDemandShare);
  }

  /** Starts the periodic reports. */
  public void start() {
    sendReport();
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(
        () -> {
          generation = document.generation();
          Set<WorkspaceId> present = new HashSet<>();
          for (Workspace workspace : document.workspaces()) {
            present.add(workspace.id());
            localDemands
                .computeIfAbsent(
                    workspace.id(), unused -> new LocalDemand(workspace.rate(), generation))
                .setLimit(workspace.rate(), generation);
            @Nullable FleetTokenBucket bucket = fleetBuckets.get(workspace.id());
            if (bucket != null) {
              bucket.adoptLimit(workspace.rate(), generation);
            }
          }
          localDemands.keySet().retainAll(present);
        });
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    int vms = possibleVms.getAsInt();
    decision.accept(lock.call(() -> decide(workspace, vms)));
  }

  private LimitDecision decide(WorkspaceId workspace, int vms) {
    @Nullable LocalDemand demand = localDemands.get(workspace);
    if (demand == null) {
      return new LimitDecision.ShareUnsettled();
    }
    if (demand.limit().isUnlimited()) {
      return new LimitDecision.Admitted();
    }
    boolean withoutCoordinator = shareValidUntil.isReached(clock);
    boolean admitted =
        withoutCoordinator
            ? demand.admitWithoutCoordinator(1.0 / vms, clock.monotonicNanos())
            : demand.admitByFraction(clock, 1.0 / vms);
    return admitted
        ? new LimitDecision.Admitted()
        : new LimitDecision.RateLimited(
            RETRY_AFTER,
            demand.describe() + (withoutCoordinator ? " alone=true vms=" + vms : " alone=false"));
  }

  private void sendReport() {
    List<VmId> order = coordinatorOrder.get();
    int vms = possibleVms.getAsInt();
    List<DemandReport> reports = new ArrayList<>();
    Optional<VmId> coordinator = lock.call(() -> prepareReport(order, vms, reports));
    if (coordinator.isPresent() && coordinator.get().equals(self)) {
      apply(lock.call(() -> coordinate(self, reports.get(0), vms)));
    } else if (coordinator.isPresent()) {
      counters.add("limits.reports", 1);
      sender.send(coordinator.get(), reports.get(0));
    }
    scheduler.schedule(Deadline.after(clock, REPORT_INTERVAL), this::sendReport);
  }

  private Optional<VmId> prepareReport(List<VmId> order, int vms, List<DemandReport> reports) {
    long now = clock.monotonicNanos();
    double seconds = (now - lastReportNanos) / 1e9;
    lastReportNanos = now;
    List<DemandReport.Demand> demands = new ArrayList<>();
    localDemands.forEach(
        (workspace, demand) -> {
          boolean active = demand.hasArrivals() && !demand.limit().isUnlimited();
          LocalDemand.Counts counts = demand.takeCounts(seconds);
          if (active) {
            demands.add(
                new DemandReport.Demand(
                    workspace, counts.arrived(), counts.admitted(), Optional.of(demand.limit())));
          }
        });
    reports.add(new DemandReport(generation, vms, demands));
    removeExpired();
    recordCoordinatorLoss();
    if (order.isEmpty()) {
      return Optional.empty();
    }
    if (isWithoutCoordinator && coordinatorSwitchDeadline.isReached(clock)) {
      coordinatorIndex++;
      coordinatorSwitchDeadline = Deadline.after(clock, VALIDITY);
    } else if (!isWithoutCoordinator) {
      coordinatorSwitchDeadline = Deadline.after(clock, VALIDITY);
    }
    return Optional.of(order.get(coordinatorIndex % order.size()));
  }

  /** Not at each received report, since that would take time in proportion to the square of VMs. */
  private void removeExpired() {
    reporters.values().removeIf(reporter -> reporter.validUntil().isReached(clock));
    mostPossibleVms = reporters.values().stream().mapToInt(Reporter::possibleVms).max().orElse(0);
    // The bucket of a workspace in the document is kept, since a new one is empty.
    fleetBuckets
        .entrySet()
        .removeIf(
            entry ->
                !localDemands.containsKey(entry.getKey())
                    && entry.getValue().idleNanos() > FOREIGN_BUCKET_RETENTION.toNanos());
    limitedWorkspaces.retainAll(fleetBuckets.keySet());
  }

  private void recordCoordinatorLoss() {
    if (!isWithoutCoordinator && shareValidUntil.isReached(clock)) {
      isWithoutCoordinator = true;
      eventLog.record(
          EventLog.Level.WARNING, "limit_coordinator_lost", LogField.of("place", coordinatorIndex));
    }
  }

  private void onDemandReport(VmId from, DemandReport report) {
    int vms = possibleVms.getAsInt();
    sender.send(from, lock.call(() -> coordinate(from, report, vms)));
  }

  private DemandShare coordinate(VmId from, DemandReport report, int vms) {
    reporters.put(from, new Reporter(Deadline.after(clock, VALIDITY), report.possibleVms()));
    mostPossibleVms = Math.max(mostPossibleVms, report.possibleVms());
    // A coordinator that has just started knows few VMs, but those that report to it know more.
    double fraction =
        Math.min(1, (double) reporters.size() / Math.max(1, Math.max(vms, mostPossibleVms)));
    List<DemandShare.Share> shares = new ArrayList<>();
    Set<WorkspaceId> reported = new HashSet<>();
    for (DemandReport.Demand demand : report.demands()) {
      reported.add(demand.workspace());
      bucketFor(demand, report.generation())
          .ifPresent(
              bucket -> {
                bucket.recordReport(
                    demand.arrived(),
                    demand.admitted(),
                    slack.extend(bucket.fleetLimit(), fraction));
                shares.add(computeShare(demand.workspace(), bucket, fraction));
              });
    }
    // A VM with few requests of a workspace learns of its overload before the next one arrives.
    limitedWorkspaces.stream()
        .filter(workspace -> !reported.contains(workspace))
        .limit(MAXIMUM_FURTHER_SHARES)
        .toList()
        .forEach(
            workspace -> {
              @Nullable FleetTokenBucket bucket = fleetBuckets.get(workspace);
              if (bucket != null) {
                shares.add(computeShare(workspace, bucket, fraction));
              }
            });
    return new DemandShare(shares);
  }

  /**
   * Returns the bucket of a workspace with the newest limit known to this VM or a reporting one;
   * empty if neither knows a limit, in which case the reporting VM has to do without a share.
   */
  private Optional<FleetTokenBucket> bucketFor(
      DemandReport.Demand demand, long reportedGeneration) {
    @Nullable LocalDemand local = localDemands.get(demand.workspace());
    RateLimit limit;
    long limitGeneration;
    if (local != null && (demand.limit().isEmpty() || reportedGeneration <= generation)) {
      limit = local.limit();
      limitGeneration = generation;
    } else if (demand.limit().isPresent()) {
      limit = demand.limit().get();
      limitGeneration = reportedGeneration;
    } else {
      return Optional.empty();
    }
    FleetTokenBucket bucket =
        fleetBuckets.computeIfAbsent(
            demand.workspace(), unused -> new FleetTokenBucket(clock, limit, limitGeneration));
    bucket.adoptLimit(limit, limitGeneration);
    return Optional.of(bucket);
  }

  private DemandShare.Share computeShare(
      WorkspaceId workspace, FleetTokenBucket bucket, double fractionOfFleet) {
    if (bucket.fleetLimit().isUnlimited()) {
      // The reporting VM does not know yet that the limit was removed.
      limitedWorkspaces.remove(workspace);
      return new DemandShare.Share(workspace, 1, 0, bucket.generation());
    }
    double admissible =
        bucket.admissibleFraction(slack.extend(bucket.fleetLimit(), fractionOfFleet));
    if (admissible < 1) {
      limitedWorkspaces.add(workspace);
    } else {
      limitedWorkspaces.remove(workspace);
    }
    return new DemandShare.Share(
        workspace, admissible, bucket.arrivalsPerSecond(), bucket.generation());
  }

  private void onDemandShare(VmId from, DemandShare message) {
    apply(message);
  }

  private void apply(DemandShare message) {
    boolean regained =
        lock.call(
            () -> {
              for (DemandShare.Share share : message.shares()) {
                @Nullable LocalDemand demand = localDemands.get(share.workspace());
                if (demand != null && share.fraction() >= 0 && share.fraction() <= 1) {
                  demand.setShare(share, Deadline.after(clock, VALIDITY));
                }
              }
              shareValidUntil = Deadline.after(clock, VALIDITY);
              boolean wasWithoutCoordinator = isWithoutCoordinator;
              isWithoutCoordinator = false;
              return wasWithoutCoordinator;
            });
    if (regained) {
      eventLog.record(
          EventLog.Level.INFO,
          "limit_coordinator_found",
          LogField.of("place", lock.call(() -> coordinatorIndex)));
    }
  }
}
