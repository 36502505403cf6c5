package org.kumquatvane.limits.internal;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.membership.Vm;

/** The shared table of a limiter: owned fraction, rates and accounts. Guarded by its lock. */
public final class ShareTable {
  private static final long SUSPECT_NANOS = 1_000_000_000L;
  private static final long LONGEST_RETRY_AFTER_NANOS = 60_000_000_000L;

  private final VmId self;
  private final InvariantMonitor monitor;
  private final ShareTracker tracker;
  private final Map<WorkspaceId, RatedWorkspace> rates = new HashMap<>();
  private final Map<WorkspaceId, WorkspaceAccount> accounts = new HashMap<>();
  private final Map<VmId, Long> suspects = new HashMap<>();
  private List<Vm> vms = List.of();
  private long lastRequestId;
  private boolean stopped;

  /**
   * Creates a table without rates.
   *
   * @param self this VM
   * @param settings times of the rules
   * @param monitor receives violations
   * @param nowNanos monotonic time
   */
  public ShareTable(VmId self, LeaseSettings settings, InvariantMonitor monitor, long nowNanos) {
    this.self = self;
    this.monitor = monitor;
    tracker = new ShareTracker(self, settings, nowNanos);
  }

  /**
   * Replaces the rates by those of a document.
   *
   * @param document the document in force
   * @param nowNanos monotonic time
   */
  public void apply(Document document, long nowNanos) {
    accounts.values().forEach(account -> account.settle(nowNanos));
    tracker.setMaximumVmCount(document.fleet().maximumVmCount(), nowNanos);
    Map<WorkspaceId, RatedWorkspace> previous = Map.copyOf(rates);
    rates.clear();
    document
        .workspaces()
        .forEach(
            workspace ->
                rates.put(
                    workspace.id(),
                    RatedWorkspace.of(workspace.rate(), previous.get(workspace.id()), nowNanos)));
  }

  /**
   * Returns the account of a workspace, settled.
   *
   * @param workspace the workspace
   * @param nowNanos monotonic time
   * @return the account, or null if the document has no such workspace or the limiter is stopped
   */
  public @Nullable WorkspaceAccount account(WorkspaceId workspace, long nowNanos) {
    RatedWorkspace rated = rates.get(workspace);
    if (stopped || rated == null) {
      return null;
    }
    WorkspaceAccount account =
        accounts.computeIfAbsent(
            workspace, id -> new WorkspaceAccount(id, rated, tracker, monitor, nowNanos));
    account.settle(nowNanos);
    return account;
  }

  /**
   * Returns the rate of a workspace.
   *
   * @param workspace the workspace
   * @return its rate, or null if the document has no such workspace
   */
  public @Nullable RatedWorkspace rate(WorkspaceId workspace) {
    return rates.get(workspace);
  }

  /**
   * Returns all accounts.
   *
   * @return a live view
   */
  public Collection<WorkspaceAccount> accounts() {
    return accounts.values();
  }

  /**
   * Returns the owned fraction.
   *
   * @return the tracker
   */
  public ShareTracker tracker() {
    return tracker;
  }

  /**
   * Returns the VM that collects the shares of a workspace, leaving out VMs that did not answer.
   *
   * @param account the workspace
   * @param nowNanos monotonic time
   * @return the collector, or null if no VM is known
   */
  public @Nullable VmId collector(WorkspaceAccount account, long nowNanos) {
    for (VmId vm : account.order(vms)) {
      if (vm.equals(self) || !isSuspect(vm, nowNanos)) {
        return vm;
      }
    }
    return null;
  }

  /**
   * Returns the other VMs that answered lately or were not asked.
   *
   * @param account the workspace
   * @param nowNanos monotonic time
   * @return their names
   */
  public List<VmId> others(WorkspaceAccount account, long nowNanos) {
    return account.order(vms).stream()
        .filter(vm -> !vm.equals(self) && !isSuspect(vm, nowNanos))
        .toList();
  }

  private boolean isSuspect(VmId vm, long nowNanos) {
    Long until = suspects.get(vm);
    return until != null && until - nowNanos > 0;
  }

  /**
   * Leaves a VM out for a while because it did not answer.
   *
   * @param vm the VM
   * @param nowNanos monotonic time
   */
  public void suspect(VmId vm, long nowNanos) {
    suspects.put(vm, nowNanos + SUSPECT_NANOS);
  }

  /**
   * Brings accounts up to date and forgets idle ones.
   *
   * @param nowNanos monotonic time
   */
  public void sweep(long nowNanos) {
    suspects.values().removeIf(until -> until - nowNanos <= 0);
    accounts
        .values()
        .removeIf(
            account -> {
              account.settle(nowNanos);
              return account.isIdle();
            });
  }

  /**
   * Sets the VMs that may be asked.
   *
   * @param known members of the agreed view or the listed VMs
   */
  public void setVms(List<Vm> known) {
    vms = known;
  }

  /**
   * Returns whether a VM is this one.
   *
   * @param vm a VM
   * @return whether it is this one
   */
  public boolean isSelf(VmId vm) {
    return vm.equals(self);
  }

  /**
   * Returns a number for a request to another VM.
   *
   * @return a number higher than every earlier one of this process
   */
  public long nextRequestId() {
    return ++lastRequestId;
  }

  /**
   * Tells whether the limiter is stopped.
   *
   * @return whether it neither admits nor lends
   */
  public boolean isStopped() {
    return stopped;
  }

  /**
   * Stops or starts the limiter.
   *
   * @param stop whether it neither admits nor lends
   */
  public void setStopped(boolean stop) {
    stopped = stop;
  }

  /**
   * Refuses a request that found no token.
   *
   * @param request the request
   * @param retryAfterNanos time after which a token is expected
   * @param effects receives the decision
   */
  public void refuse(WaitingRequest request, long retryAfterNanos, Effects effects) {
    effects.decide(
        request,
        tracker.owns()
            ? new LimitDecision.RateLimited(
                Duration.ofNanos(Math.min(LONGEST_RETRY_AFTER_NANOS, retryAfterNanos)))
            : new LimitDecision.Unsettled());
  }
}
