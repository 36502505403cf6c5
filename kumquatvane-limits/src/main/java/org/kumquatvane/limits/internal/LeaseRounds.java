package org.kumquatvane.limits.internal;

import java.util.HashMap;
import java.util.Map;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseGrant;
import org.kumquatvane.limits.LeaseRequest;
import org.kumquatvane.limits.LeaseSettings;

/** Borrows fractions from other VMs. Guarded by the limiter's lock. */
public final class LeaseRounds {
  /** A round that brought too little is repeated at most this often. */
  private static final long SHORTEST_INTERVAL_NANOS = 250_000_000L;

  private final ShareTable table;
  private final LeaseSettings settings;
  private final Map<Long, LeaseAsk> asks = new HashMap<>();

  /**
   * Creates the borrowing side.
   *
   * @param table the shared table
   * @param settings times of the leases
   */
  public LeaseRounds(ShareTable table, LeaseSettings settings) {
    this.table = table;
    this.settings = settings;
  }

  /**
   * Starts a round if this VM is the collector and its leases are about to end. A VM that took
   * another one's place for a while stops, since two collectors would split the shares.
   *
   * @param account the workspace
   * @param effects receives the messages
   */
  public void renewIfCollecting(WorkspaceAccount account, Effects effects) {
    VmId collector = table.collector(account, effects.now());
    if (collector == null || !table.isSelf(collector)) {
      return;
    }
    long sinceNanos = effects.now() - account.roundNanos();
    if (sinceNanos >= settings.renewal().toNanos() && sinceNanos < settings.lease().toNanos()) {
      start(account, effects);
    }
  }

  /**
   * Starts a round unless there was one just before.
   *
   * @param account the workspace, which is short of tokens
   * @param effects receives the messages
   */
  public void startIfShort(WorkspaceAccount account, Effects effects) {
    if (effects.now() - account.roundNanos() >= SHORTEST_INTERVAL_NANOS) {
      start(account, effects);
    }
  }

  /** Asks every other VM for the fraction that it does not need. */
  private void start(WorkspaceAccount account, Effects effects) {
    account.roundStarted();
    table.others(account, effects.now()).forEach(vm -> ask(account, vm, 1, effects));
  }

  /**
   * Asks the collector for a fraction if many requests at this VM need tokens from it.
   *
   * @param account the workspace
   * @param collector the VM that collects its shares
   * @param effects receives the message
   */
  public void askCollector(WorkspaceAccount account, VmId collector, Effects effects) {
    double missing =
        account.usefulFraction(account.demand().perSecond(effects.now())) - account.usable();
    if (missing <= 0 || !account.mayAskForLease(SHORTEST_INTERVAL_NANOS)) {
      return;
    }
    double wanted = account.borrowedFrom(collector) + missing;
    ask(account, collector, wanted, effects);
  }

  private void ask(WorkspaceAccount account, VmId lender, double fraction, Effects effects) {
    long requestId = table.nextRequestId();
    asks.put(requestId, new LeaseAsk(lender, account.workspace(), effects.now()));
    effects.send(
        lender,
        new LeaseRequest(requestId, account.workspace(), fraction, settings.lease().toNanos()));
  }

  /**
   * Takes a lease that was asked for; a second or late grant is void.
   *
   * @param lender the sender
   * @param grant the grant
   * @param effects supplies the time
   * @return whether the fraction was borrowed
   */
  public boolean granted(VmId lender, LeaseGrant grant, Effects effects) {
    LeaseAsk ask = asks.remove(grant.requestId());
    if (ask == null || !ask.lender.equals(lender)) {
      return false;
    }
    long untilNanos = ask.sentNanos + grant.validNanos();
    WorkspaceAccount account = table.account(ask.workspace, effects.now());
    if (account == null || untilNanos - effects.now() <= 0) {
      return false;
    }
    account.borrow(lender, grant.fraction(), grant.tokens(), untilNanos);
    return true;
  }

  /**
   * Forgets requests whose grants would be late.
   *
   * @param nowNanos monotonic time
   */
  public void sweep(long nowNanos) {
    asks.values().removeIf(ask -> nowNanos - ask.sentNanos > settings.lease().toNanos());
  }

  /** Forgets all requests, so that their grants are void. */
  public void clear() {
    asks.clear();
  }

  private record LeaseAsk(VmId lender, WorkspaceId workspace, long sentNanos) {}
}
