package org.kumquatvane.limits;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.limits.internal.DeferredEffects;
import org.kumquatvane.limits.internal.EffectiveRate;
import org.kumquatvane.limits.internal.LeaseBorrower;
import org.kumquatvane.limits.internal.ShareTable;
import org.kumquatvane.limits.internal.TokenBorrower;
import org.kumquatvane.limits.internal.TokenLender;
import org.kumquatvane.limits.internal.WaitingRequest;
import org.kumquatvane.limits.internal.WorkspaceLimitState;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.membership.Vm;

/**
 * Admits requests from the fraction that this VM owns and from fractions and tokens borrowed from
 * other VMs.
 *
 * <p>docs/design.md, chapter 7.3, specifies the rules and shows why the fractions of all VMs sum to
 * at most one. When no local token is available, the VM requests one from the workspace's
 * collector, which borrows the fractions that other VMs do not use.
 */
public final class LeasedShareLimiter
    implements RateLimiter, DocumentListener, MembershipListener, AutoCloseable {
  private static final long MAINTENANCE_INTERVAL_NANOS = 500_000_000L;

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final Clock clock;
  private final Scheduler scheduler;
  private final PeerSender sender;
  private final FleetMembership membership;
  private final ShareTable table;
  private final LeaseBorrower leaseBorrower;
  private final TokenLender lender;
  private final TokenBorrower tokenBorrower;
  private long lastMaintenanceNanos;
  private volatile boolean closed;

  /**
   * Creates a limiter that owns nothing until an agreed view contains this VM.
   *
   * @param clock clock of all deadlines
   * @param scheduler runs timers
   * @param sender sends messages to other VMs
   * @param membership agreed views; this limiter adds itself as a listener
   * @param monitor receives violations
   * @param settings lease durations, equal on all VMs
   */
  @SuppressWarnings("this-escape") // The class is final and its fields are set.
  public LeasedShareLimiter(
      Clock clock,
      Scheduler scheduler,
      PeerSender sender,
      FleetMembership membership,
      InvariantMonitor monitor,
      LeaseSettings settings) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.sender = sender;
    this.membership = membership;
    lastMaintenanceNanos = clock.monotonicNanos();
    table = new ShareTable(membership.self().id(), settings, monitor, lastMaintenanceNanos);
    leaseBorrower = new LeaseBorrower(table, settings);
    lender = new TokenLender(table, leaseBorrower, settings);
    tokenBorrower = new TokenBorrower(table, leaseBorrower, lender, settings);
    membership.addListener(this);
    scheduler.schedule(
        new Deadline(lastMaintenanceNanos + MAINTENANCE_INTERVAL_NANOS),
        () -> runLocked(this::runMaintenance));
  }

  /**
   * Registers the handlers of this limiter's messages.
   *
   * @param dispatcher dispatches received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(
        TokenRequest.class,
        (vm, message) -> runLocked(effects -> lender.onTokenRequest(vm, message, effects)));
    dispatcher.register(
        TokenGrant.class,
        (vm, message) -> runLocked(effects -> tokenBorrower.onGrant(vm, message, effects)));
    dispatcher.register(
        LeaseRequest.class,
        (vm, message) -> runLocked(effects -> lender.onLeaseRequest(vm, message, effects)));
    dispatcher.register(
        LeaseGrant.class,
        (vm, message) -> runLocked(effects -> onLeaseGrant(vm, message, effects)));
  }

  /** Starts without tokens or borrowed fractions after another mechanism was in use. */
  public void start() {
    runLocked(
        effects -> {
          table.setStopped(false);
          table.tracker().restart(effects.nowNanos());
        });
  }

  /** Drops all state; admits and lends nothing until it is started again. */
  public void stop() {
    runLocked(
        effects -> {
          reset(effects);
          table.setStopped(true);
        });
  }

  @Override
  public void close() {
    stop();
    closed = true;
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    WaitingRequest request = new WaitingRequest(deadline, decision, 0);
    runLocked(effects -> tokenBorrower.acquire(workspace, request, effects));
  }

  @Override
  public void documentInForce(Document document) {
    runLocked(effects -> apply(document, effects));
  }

  private void apply(Document document, DeferredEffects effects) {
    table.apply(document, effects.nowNanos());
    for (WorkspaceLimitState state : table.workspaceStates()) {
      EffectiveRate effectiveRate = table.effectiveRate(state.workspace());
      // A removed workspace keeps its state until its leases end, in case it is added again.
      RateLimit rate = effectiveRate == null ? new RateLimit(0, 0) : effectiveRate.rate();
      if (!rate.equals(state.rate())) {
        state.changeRate(rate);
        tokenBorrower.invalidateTokensInFlight(state.workspace(), effects);
      }
    }
  }

  @Override
  public void viewAgreed(AgreedView view) {
    runLocked(effects -> {});
  }

  @Override
  public void viewLost() {
    runLocked(effects -> {});
  }

  @Override
  public void vmDeparted(VmId vm) {
    runLocked(effects -> table.tracker().recordDeparture(vm, effects.nowNanos()));
  }

  @Override
  public void resumedAfterPause() {
    runLocked(this::reset);
  }

  private void reset(DeferredEffects effects) {
    table.tracker().dropRights(effects.nowNanos());
    leaseBorrower.clear();
    for (WorkspaceLimitState state : table.workspaceStates()) {
      state.advanceTo(effects.nowNanos());
      state.dropTokensAndLeases();
      state.addTokenRequestsInFlight(-state.tokenRequestsInFlight());
      state.tokenQueue().forEach(queued -> lender.deny(state, queued, effects));
      state.tokenQueue().clear();
      TokenBorrower.refuseAsUnsettled(state.backlog(), effects);
      state.backlog().clear();
    }
    tokenBorrower.cancelAll(effects);
  }

  private void onLeaseGrant(VmId vm, LeaseGrant grant, DeferredEffects effects) {
    if (leaseBorrower.onGrant(vm, grant, effects)) {
      WorkspaceLimitState state = table.workspaceState(grant.workspace(), effects.nowNanos());
      if (state != null) {
        lender.serveQueue(state, effects);
      }
    }
  }

  private void runMaintenance(DeferredEffects effects) {
    lastMaintenanceNanos = effects.nowNanos();
    leaseBorrower.removeExpiredRequests(effects.nowNanos());
    table.removeIdle(effects.nowNanos());
    if (!closed) {
      effects.schedule(effects.nowNanos() + MAINTENANCE_INTERVAL_NANOS, this::runMaintenance);
    }
  }

  /**
   * Returns the fraction of every workspace's rate and burst that this VM owns now, for operators.
   *
   * @return 0 to 1, including fractions lent to other VMs
   */
  public double ownedFraction() {
    return lock.call(() -> table.tracker().owned());
  }

  private void runLocked(DeferredEffects.Step step) {
    // The view is read before locking, since the membership lock ranks below this one.
    Optional<AgreedView> view = membership.agreedView();
    List<Vm> vms = view.map(AgreedView::members).orElseGet(membership::listedVms);
    lock.call(() -> runStep(step, view, vms)).run();
  }

  private DeferredEffects runStep(
      DeferredEffects.Step step, Optional<AgreedView> view, List<Vm> vms) {
    DeferredEffects effects =
        new DeferredEffects(sender, scheduler, this::runLocked, clock.monotonicNanos());
    table.setVms(vms);
    if (effects.nowNanos() - lastMaintenanceNanos > 2 * MAINTENANCE_INTERVAL_NANOS) {
      // The process was paused: rights acquired before the pause must not admit requests.
      lastMaintenanceNanos = effects.nowNanos();
      reset(effects);
    }
    if (!table.isStopped()) {
      table.tracker().update(view, effects.nowNanos());
    }
    step.run(effects);
    return effects;
  }
}
