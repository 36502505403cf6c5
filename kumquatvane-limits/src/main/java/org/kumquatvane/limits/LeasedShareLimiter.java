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
import org.kumquatvane.limits.internal.Effects;
import org.kumquatvane.limits.internal.LeaseRounds;
import org.kumquatvane.limits.internal.RatedWorkspace;
import org.kumquatvane.limits.internal.ShareTable;
import org.kumquatvane.limits.internal.TokenBorrower;
import org.kumquatvane.limits.internal.TokenLender;
import org.kumquatvane.limits.internal.WaitingRequest;
import org.kumquatvane.limits.internal.WorkspaceAccount;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.membership.Vm;

/**
 * Admits from the fraction that this VM owns, and from fractions and tokens that other VMs lend.
 *
 * <p>docs/design.md, chapter 7.3, gives the rules and why the fractions of all VMs add up to at
 * most one. A request without a local token asks the workspace's collector for one; the collector
 * borrows the fractions that other VMs do not use.
 */
public final class LeasedShareLimiter
    implements RateLimiter, DocumentListener, MembershipListener, AutoCloseable {
  private static final long TICK_NANOS = 500_000_000L;

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final Clock clock;
  private final Scheduler scheduler;
  private final PeerSender sender;
  private final FleetMembership membership;
  private final ShareTable table;
  private final LeaseRounds rounds;
  private final TokenLender lender;
  private final TokenBorrower borrower;
  private long tickedNanos;
  private volatile boolean closed;

  /**
   * Creates a limiter that owns nothing until an agreed view contains this VM.
   *
   * @param clock clock of all deadlines
   * @param scheduler runs timers
   * @param sender sends messages to other VMs
   * @param membership agreed views; this limiter adds itself as a listener
   * @param monitor receives violations
   * @param settings times that are equal on all VMs
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
    tickedNanos = clock.monotonicNanos();
    table = new ShareTable(membership.self().id(), settings, monitor, tickedNanos);
    rounds = new LeaseRounds(table, settings);
    lender = new TokenLender(table, rounds, settings);
    borrower = new TokenBorrower(table, rounds, lender, settings);
    membership.addListener(this);
    scheduler.schedule(new Deadline(tickedNanos + TICK_NANOS), () -> locked(this::tick));
  }

  /**
   * Registers the handlers of this limiter's messages.
   *
   * @param dispatcher hands on received messages
   */
  public void register(PeerDispatcher dispatcher) {
    dispatcher.register(
        TokenRequest.class,
        (vm, message) -> locked(effects -> lender.tokensRequested(vm, message, effects)));
    dispatcher.register(
        TokenGrant.class,
        (vm, message) -> locked(effects -> borrower.granted(vm, message, effects)));
    dispatcher.register(
        LeaseRequest.class,
        (vm, message) -> locked(effects -> lender.leaseRequested(vm, message, effects)));
    dispatcher.register(
        LeaseGrant.class, (vm, message) -> locked(effects -> leaseGranted(vm, message, effects)));
  }

  /** Starts without tokens or borrowed fractions after another mechanism was in use. */
  public void start() {
    locked(
        effects -> {
          table.setStopped(false);
          table.tracker().restart(effects.now());
        });
  }

  /** Drops everything, lends and admits nothing until it is started again. */
  public void stop() {
    locked(
        effects -> {
          dropEverything(effects);
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
    locked(effects -> borrower.acquire(workspace, request, effects));
  }

  @Override
  public void documentInForce(Document document) {
    locked(effects -> apply(document, effects));
  }

  private void apply(Document document, Effects effects) {
    table.apply(document, effects.now());
    for (WorkspaceAccount account : table.accounts()) {
      RatedWorkspace rated = table.rate(account.workspace());
      // A removed workspace keeps its account until its leases end, in case it returns.
      RateLimit rate = rated == null ? new RateLimit(0, 0) : rated.rate();
      if (!rate.equals(account.rate())) {
        account.changeRate(rate);
        borrower.voidTokensInFlight(account.workspace(), effects);
      }
    }
  }

  @Override
  public void viewAgreed(AgreedView view) {
    locked(effects -> {});
  }

  @Override
  public void viewLost() {
    locked(effects -> {});
  }

  @Override
  public void vmDeparted(VmId vm) {
    locked(effects -> table.tracker().departed(vm, effects.now()));
  }

  @Override
  public void resumedAfterPause() {
    locked(this::dropEverything);
  }

  private void dropEverything(Effects effects) {
    table.tracker().dropRights(effects.now());
    rounds.clear();
    for (WorkspaceAccount account : table.accounts()) {
      account.settle(effects.now());
      account.dropAll();
      account.addAsks(-account.asksInFlight());
      account.parked().forEach(parked -> lender.deny(account, parked, effects));
      account.parked().clear();
      TokenBorrower.unsettle(account.backlog(), effects);
      account.backlog().clear();
    }
    borrower.dropAll(effects);
  }

  private void leaseGranted(VmId vm, LeaseGrant grant, Effects effects) {
    if (rounds.granted(vm, grant, effects)) {
      WorkspaceAccount account = table.account(grant.workspace(), effects.now());
      if (account != null) {
        lender.serve(account, effects);
      }
    }
  }

  private void tick(Effects effects) {
    tickedNanos = effects.now();
    rounds.sweep(effects.now());
    table.sweep(effects.now());
    if (!closed) {
      effects.at(effects.now() + TICK_NANOS, this::tick);
    }
  }

  /**
   * Returns the fraction of every workspace's rate and burst that this VM owns now, for operators.
   *
   * @return 0 to 1; what is lent to other VMs is included
   */
  public double ownedFraction() {
    return lock.call(() -> table.tracker().owned());
  }

  private void locked(Effects.Step step) {
    // The view is read first, since the lock of the membership ranks below this one.
    Optional<AgreedView> view = membership.agreedView();
    List<Vm> vms = view.map(AgreedView::members).orElseGet(membership::listedVms);
    lock.call(() -> runStep(step, view, vms)).run();
  }

  private Effects runStep(Effects.Step step, Optional<AgreedView> view, List<Vm> vms) {
    Effects effects = new Effects(sender, scheduler, this::locked, clock.monotonicNanos());
    table.setVms(vms);
    if (effects.now() - tickedNanos > 2 * TICK_NANOS) {
      // The process was paused: nothing that it held before may admit a request.
      tickedNanos = effects.now();
      dropEverything(effects);
    }
    if (!table.isStopped()) {
      table.tracker().observe(view, effects.now());
    }
    step.run(effects);
    return effects;
  }
}
