package org.kumquatvane.limits.internal;

import java.util.HashMap;
import java.util.Map;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseGrant;
import org.kumquatvane.limits.LeaseRequest;
import org.kumquatvane.limits.LeaseSettings;

/** Borrows fractions from other VMs. Guarded by the limiter's lock. */
public final class LeaseBorrower {
  /** Shortest time between two rounds, and between two lease requests to the collector. */
  private static final long MINIMUM_ROUND_INTERVAL_NANOS = 250_000_000L;

  private final ShareTable table;
  private final LeaseSettings settings;
  private final Map<Long, PendingLeaseRequest> pendingRequests = new HashMap<>();

  /**
   * Creates a borrower without pending requests.
   *
   * @param table the shared table
   * @param settings lease durations
   */
  public LeaseBorrower(ShareTable table, LeaseSettings settings) {
    this.table = table;
    this.settings = settings;
  }

  /**
   * Starts a round if this VM is the collector and its leases are about to end. A VM that was only
   * a temporary collector does not renew, since two collectors would split the shares.
   *
   * @param state state of the workspace
   * @param effects receives the messages
   */
  public void renewIfCollector(WorkspaceLimitState state, DeferredEffects effects) {
    VmId collector = table.collector(state, effects.nowNanos());
    if (collector == null || !table.isSelf(collector)) {
      return;
    }
    long sinceNanos = effects.nowNanos() - state.lastRoundNanos();
    if (sinceNanos >= settings.renewal().toNanos() && sinceNanos < settings.lease().toNanos()) {
      startRound(state, effects);
    }
  }

  /**
   * Starts a round unless the previous one was too recent.
   *
   * @param state state of the workspace, which is short of tokens
   * @param effects receives the messages
   */
  public void startRoundUnlessRecent(WorkspaceLimitState state, DeferredEffects effects) {
    if (effects.nowNanos() - state.lastRoundNanos() >= MINIMUM_ROUND_INTERVAL_NANOS) {
      startRound(state, effects);
    }
  }

  /** Requests from every other VM the fraction that it does not need. */
  private void startRound(WorkspaceLimitState state, DeferredEffects effects) {
    state.markRoundStarted();
    table
        .otherResponsiveVms(state, effects.nowNanos())
        .forEach(vm -> sendRequest(state, vm, 1, effects));
  }

  /**
   * Requests a fraction from the collector if the demand at this VM exceeds its usable fraction.
   *
   * @param state state of the workspace
   * @param collector the VM that collects its shares
   * @param effects receives the message
   */
  public void requestFromCollector(
      WorkspaceLimitState state, VmId collector, DeferredEffects effects) {
    double missingFraction =
        state.usefulFraction(state.demand().perSecond(effects.nowNanos())) - state.usableFraction();
    if (missingFraction <= 0 || !state.mayRequestLease(MINIMUM_ROUND_INTERVAL_NANOS)) {
      return;
    }
    double wantedFraction = state.borrowedFrom(collector) + missingFraction;
    sendRequest(state, collector, wantedFraction, effects);
  }

  private void sendRequest(
      WorkspaceLimitState state, VmId lender, double fraction, DeferredEffects effects) {
    long requestId = table.nextRequestId();
    pendingRequests.put(
        requestId, new PendingLeaseRequest(lender, state.workspace(), effects.nowNanos()));
    effects.send(
        lender,
        new LeaseRequest(requestId, state.workspace(), fraction, settings.lease().toNanos()));
  }

  /**
   * Records a granted lease; a duplicate or late grant is ignored.
   *
   * @param lender the sender
   * @param grant the grant
   * @param effects supplies the time
   * @return whether the fraction was borrowed
   */
  public boolean onGrant(VmId lender, LeaseGrant grant, DeferredEffects effects) {
    PendingLeaseRequest pending = pendingRequests.remove(grant.requestId());
    if (pending == null || !pending.lender.equals(lender)) {
      return false;
    }
    long untilNanos = pending.sentNanos + grant.validNanos();
    WorkspaceLimitState state = table.workspaceState(pending.workspace, effects.nowNanos());
    if (state == null || untilNanos - effects.nowNanos() <= 0) {
      return false;
    }
    state.addBorrowed(lender, grant.fraction(), grant.tokens(), untilNanos);
    return true;
  }

  /**
   * Removes requests whose grants would be late.
   *
   * @param nowNanos monotonic time
   */
  public void removeExpiredRequests(long nowNanos) {
    pendingRequests
        .values()
        .removeIf(pending -> nowNanos - pending.sentNanos > settings.lease().toNanos());
  }

  /** Removes all requests, so that their grants are ignored. */
  public void clear() {
    pendingRequests.clear();
  }

  private record PendingLeaseRequest(VmId lender, WorkspaceId workspace, long sentNanos) {}
}
