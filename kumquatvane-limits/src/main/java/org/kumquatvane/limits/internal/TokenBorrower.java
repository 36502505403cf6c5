package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.limits.TokenGrant;
import org.kumquatvane.limits.TokenRequest;

/**
 * Admits requests at this VM, if necessary with tokens of other VMs. Guarded by the limiter's lock.
 */
public final class TokenBorrower {
  private static final long RETRY_AFTER_NANOS = 20_000_000L;
  private static final int MAXIMUM_CONCURRENT_REQUESTS = 4;
  private static final int MAXIMUM_BACKLOG = 1_024;

  /** The collector and two other VMs, in sequence, so that no granted token is left unused. */
  private static final int MAXIMUM_VMS_TRIED = 3;

  private final ShareTable table;
  private final LeaseBorrower leaseBorrower;
  private final TokenLender lender;
  private final PendingTokenRequests pendingRequests;

  /**
   * Creates a borrower without pending requests.
   *
   * @param table the shared table
   * @param leaseBorrower borrows fractions
   * @param lender queues requests if this VM is the collector
   * @param settings lease and token durations
   */
  public TokenBorrower(
      ShareTable table, LeaseBorrower leaseBorrower, TokenLender lender, LeaseSettings settings) {
    this.table = table;
    this.leaseBorrower = leaseBorrower;
    this.lender = lender;
    pendingRequests = new PendingTokenRequests(settings.minimumTokenHold().toNanos());
  }

  /**
   * Decides on a new request, now or later.
   *
   * @param workspace its workspace
   * @param request the request
   * @param effects receives decision and messages
   */
  public void acquire(WorkspaceId workspace, WaitingRequest request, DeferredEffects effects) {
    WorkspaceLimitState state = table.workspaceState(workspace, effects.nowNanos());
    if (state == null) {
      effects.decide(request, new LimitDecision.ShareUnsettled());
      return;
    }
    state.markUsed();
    state.demand().record(1, effects.nowNanos());
    leaseBorrower.renewIfCollector(state, effects);
    if (state.tokenQueue().isEmpty() && state.backlog().isEmpty() && state.tryConsumeOne()) {
      effects.decide(request, new LimitDecision.Admitted());
      return;
    }
    long refusedNanos = state.refusedUntilNanos() - effects.nowNanos();
    if (refusedNanos > 0 || state.backlog().size() >= MAXIMUM_BACKLOG) {
      table.refuse(request, Math.max(1, refusedNanos), effects);
      return;
    }
    waitForToken(state, request, effects);
  }

  private void waitForToken(
      WorkspaceLimitState state, WaitingRequest request, DeferredEffects effects) {
    VmId collector = table.collector(state, effects.nowNanos());
    if (collector == null || request.deadline().nanos() - effects.nowNanos() <= 0) {
      table.refuse(request, RETRY_AFTER_NANOS, effects);
    } else if (table.isSelf(collector)) {
      long until = effects.nowNanos() + pendingRequests.timeoutNanos();
      lender.enqueue(
          state, new QueuedTokenRequest(null, 0, 1, List.of(request), until, until), effects);
    } else {
      leaseBorrower.requestFromCollector(state, collector, effects);
      if (state.tokenRequestsInFlight() < MAXIMUM_CONCURRENT_REQUESTS) {
        requestTokens(state, collector, List.of(request), true, effects);
      } else {
        state.backlog().add(request);
      }
    }
  }

  private void requestTokens(
      WorkspaceLimitState state,
      VmId target,
      List<WaitingRequest> requests,
      boolean collect,
      DeferredEffects effects) {
    long requestId = table.nextRequestId();
    long now = effects.nowNanos();
    long timeoutNanos = pendingRequests.timeoutNanos();
    pendingRequests.add(
        requestId,
        new PendingTokenRequests.Entry(
            state.workspace(), target, requests, now, now + timeoutNanos));
    state.addTokenRequestsInFlight(1);
    effects.send(
        target,
        new TokenRequest(requestId, state.workspace(), requests.size(), collect, timeoutNanos));
    effects.schedule(now + timeoutNanos, later -> onTimeout(requestId, later));
  }

  private void requestForBacklog(WorkspaceLimitState state, DeferredEffects effects) {
    if (state.backlog().isEmpty()) {
      return;
    }
    VmId collector = table.collector(state, effects.nowNanos());
    List<WaitingRequest> requests = new ArrayList<>(state.backlog());
    state.backlog().clear();
    if (collector == null || table.isSelf(collector)) {
      requests.forEach(request -> waitForToken(state, request, effects));
    } else {
      requestTokens(state, collector, requests, true, effects);
    }
  }

  /**
   * Spends granted tokens at once on the requests that wait for them.
   *
   * @param sender the VM that granted them
   * @param grant the grant
   * @param effects receives the decisions
   */
  public void onGrant(VmId sender, TokenGrant grant, DeferredEffects effects) {
    PendingTokenRequests.Entry pending =
        pendingRequests.complete(grant.requestId(), sender, effects.nowNanos());
    if (pending == null) {
      return;
    }
    WorkspaceLimitState state = table.workspaceState(pending.workspace(), effects.nowNanos());
    if (state == null) {
      refuseAsUnsettled(pending.requests(), effects);
      return;
    }
    state.addTokenRequestsInFlight(-1);
    List<WaitingRequest> denied = new ArrayList<>();
    int left = Math.min(grant.count(), pending.requests().size());
    for (WaitingRequest request : pending.requests()) {
      if (request.deadline().nanos() - effects.nowNanos() <= 0) {
        table.refuse(request, grant.retryAfterNanos(), effects);
      } else if (left > 0) {
        left--;
        effects.decide(request, new LimitDecision.Admitted());
      } else {
        denied.add(request);
      }
    }
    if (denied.isEmpty()) {
      state.resetRefusalBackoff();
    } else {
      requestFromNextVm(state, denied, grant.retryAfterNanos(), effects);
    }
    requestForBacklog(state, effects);
  }

  /** Requests tokens from a VM other than the collector, or refuses the requests. */
  private void requestFromNextVm(
      WorkspaceLimitState state,
      List<WaitingRequest> denied,
      long retryAfterNanos,
      DeferredEffects effects) {
    List<WaitingRequest> retried = new ArrayList<>();
    VmId other = state.nextRoundRobin(table.otherResponsiveVms(state, effects.nowNanos()));
    for (WaitingRequest request : denied) {
      if (other != null && request.vmsTried() + 1 < MAXIMUM_VMS_TRIED) {
        retried.add(request.withOneMoreVmTried());
      } else {
        state.increaseRefusalBackoff();
        table.refuse(request, retryAfterNanos, effects);
      }
    }
    if (other != null && !retried.isEmpty()) {
      requestTokens(state, other, retried, false, effects);
    }
  }

  private void onTimeout(long requestId, DeferredEffects effects) {
    PendingTokenRequests.Entry pending = pendingRequests.expire(requestId);
    if (pending != null) {
      table.markUnresponsive(pending.target(), effects.nowNanos());
      retry(pending, effects);
    }
  }

  private void retry(PendingTokenRequests.Entry pending, DeferredEffects effects) {
    WorkspaceLimitState state = table.workspaceState(pending.workspace(), effects.nowNanos());
    if (state == null) {
      refuseAsUnsettled(pending.requests(), effects);
      return;
    }
    state.addTokenRequestsInFlight(-1);
    for (WaitingRequest request : pending.requests()) {
      if (request.vmsTried() + 1 < MAXIMUM_VMS_TRIED) {
        waitForToken(state, request.withOneMoreVmTried(), effects);
      } else {
        table.refuse(request, RETRY_AFTER_NANOS, effects);
      }
    }
    requestForBacklog(state, effects);
  }

  /**
   * Invalidates all tokens in flight for a workspace, since its rate has changed.
   *
   * @param workspace the workspace
   * @param effects receives new requests and decisions
   */
  public void invalidateTokensInFlight(WorkspaceId workspace, DeferredEffects effects) {
    pendingRequests.cancelAll(workspace).forEach(pending -> retry(pending, effects));
  }

  /**
   * Refuses all requests that wait for another VM.
   *
   * @param effects receives the decisions
   */
  public void cancelAll(DeferredEffects effects) {
    pendingRequests
        .cancelAll(null)
        .forEach(pending -> refuseAsUnsettled(pending.requests(), effects));
  }

  /**
   * Refuses requests because this VM owns no share.
   *
   * @param requests the requests
   * @param effects receives the decisions
   */
  public static void refuseAsUnsettled(Iterable<WaitingRequest> requests, DeferredEffects effects) {
    requests.forEach(request -> effects.decide(request, new LimitDecision.ShareUnsettled()));
  }
}
