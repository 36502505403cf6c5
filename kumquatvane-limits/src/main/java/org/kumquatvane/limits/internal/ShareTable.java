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

/**
 * Shared table of a limiter: owned fraction, rates and states of the workspaces. Guarded by its
 * lock.
 */
public final class ShareTable {
  private static final long UNRESPONSIVE_NANOS = 1_000_000_000L;
  private static final long MAXIMUM_RETRY_AFTER_NANOS = 60_000_000_000L;

  private final VmId self;
  private final InvariantMonitor monitor;
  private final ShareTracker tracker;
  private final Map<WorkspaceId, EffectiveRate> rates = new HashMap<>();
  private final Map<WorkspaceId, WorkspaceLimitState> states = new HashMap<>();
  private final Map<VmId, Long> unresponsiveUntil = new HashMap<>();
  private List<Vm> vms = List.of();
  private long lastRequestId;
  private boolean stopped;

  /**
   * Creates a table without rates.
   *
   * @param self this VM
   * @param settings lease durations
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
    states.values().forEach(state -> state.advanceTo(nowNanos));
    tracker.setMaximumVmCount(document.fleet().maximumVmCount(), nowNanos);
    Map<WorkspaceId, EffectiveRate> previous = Map.copyOf(rates);
    rates.clear();
    document
        .workspaces()
        .forEach(
            workspace ->
                rates.put(
                    workspace.id(),
                    EffectiveRate.of(workspace.rate(), previous.get(workspace.id()), nowNanos)));
  }

  /**
   * Returns the up-to-date state of a workspace.
   *
   * @param workspace the workspace
   * @param nowNanos monotonic time
   * @return the state, or null if the document has no such workspace or the limiter is stopped
   */
  public @Nullable WorkspaceLimitState workspaceState(WorkspaceId workspace, long nowNanos) {
    EffectiveRate effectiveRate = rates.get(workspace);
    if (stopped || effectiveRate == null) {
      return null;
    }
    WorkspaceLimitState state =
        states.computeIfAbsent(
            workspace,
            id -> new WorkspaceLimitState(id, effectiveRate, tracker, monitor, nowNanos));
    state.advanceTo(nowNanos);
    return state;
  }

  /**
   * Returns the rate of a workspace.
   *
   * @param workspace the workspace
   * @return its rate, or null if the document has no such workspace
   */
  public @Nullable EffectiveRate effectiveRate(WorkspaceId workspace) {
    return rates.get(workspace);
  }

  /**
   * Returns the states of all workspaces.
   *
   * @return a live view
   */
  public Collection<WorkspaceLimitState> workspaceStates() {
    return states.values();
  }

  /**
   * Returns the tracker of the owned fraction.
   *
   * @return the tracker
   */
  public ShareTracker tracker() {
    return tracker;
  }

  /**
   * Returns the VM that collects the shares of a workspace, excluding unresponsive VMs.
   *
   * @param state state of the workspace
   * @param nowNanos monotonic time
   * @return the collector, or null if no VM is known
   */
  public @Nullable VmId collector(WorkspaceLimitState state, long nowNanos) {
    for (VmId vm : state.collectorOrder(vms)) {
      if (vm.equals(self) || !isUnresponsive(vm, nowNanos)) {
        return vm;
      }
    }
    return null;
  }

  /**
   * Returns the other VMs that are not marked as unresponsive.
   *
   * @param state state of the workspace
   * @param nowNanos monotonic time
   * @return their ids
   */
  public List<VmId> otherResponsiveVms(WorkspaceLimitState state, long nowNanos) {
    return state.collectorOrder(vms).stream()
        .filter(vm -> !vm.equals(self) && !isUnresponsive(vm, nowNanos))
        .toList();
  }

  private boolean isUnresponsive(VmId vm, long nowNanos) {
    Long until = unresponsiveUntil.get(vm);
    return until != null && until - nowNanos > 0;
  }

  /**
   * Excludes a VM for a while because it did not reply.
   *
   * @param vm the VM
   * @param nowNanos monotonic time
   */
  public void markUnresponsive(VmId vm, long nowNanos) {
    unresponsiveUntil.put(vm, nowNanos + UNRESPONSIVE_NANOS);
  }

  /**
   * Brings workspace states up to date and removes idle ones.
   *
   * @param nowNanos monotonic time
   */
  public void removeIdle(long nowNanos) {
    unresponsiveUntil.values().removeIf(until -> until - nowNanos <= 0);
    states
        .values()
        .removeIf(
            state -> {
              state.advanceTo(nowNanos);
              return state.isIdle();
            });
  }

  /**
   * Sets the VMs from which tokens and fractions may be borrowed.
   *
   * @param candidates members of the agreed view or the listed VMs
   */
  public void setVms(List<Vm> candidates) {
    vms = candidates;
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
   * Returns an id for a request to another VM.
   *
   * @return an id higher than every earlier one of this process
   */
  public long nextRequestId() {
    return ++lastRequestId;
  }

  /**
   * Returns whether the limiter is stopped.
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
   * Refuses a request for which no token is available.
   *
   * @param request the request
   * @param retryAfterNanos time after which a token is expected
   * @param effects receives the decision
   */
  public void refuse(WaitingRequest request, long retryAfterNanos, DeferredEffects effects) {
    effects.decide(
        request,
        tracker.ownsFraction()
            ? new LimitDecision.RateLimited(
                Duration.ofNanos(Math.min(MAXIMUM_RETRY_AFTER_NANOS, retryAfterNanos)))
            : new LimitDecision.ShareUnsettled());
  }
}
