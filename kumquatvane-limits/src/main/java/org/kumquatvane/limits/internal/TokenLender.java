package org.kumquatvane.limits.internal;

import java.util.Iterator;
import java.util.List;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseGrant;
import org.kumquatvane.limits.LeaseRequest;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.limits.LimitDecision;
import org.kumquatvane.limits.TokenGrant;
import org.kumquatvane.limits.TokenRequest;

/**
 * Lends tokens and fractions, and keeps requests for tokens that may arrive in time. Guarded by the
 * limiter's lock.
 */
public final class TokenLender {
  /** A lease round between failure domains takes about 3 ms. */
  private static final long LEASE_ROUND_WAIT_NANOS = 6_000_000L;

  private static final long MAX_RETRY_AFTER_NANOS = 60_000_000_000L;

  /** Tokens that come faster are granted together. */
  private static final long MIN_WAKE_DELAY_NANOS = 100_000L;

  /** The way to this VM and back takes the rest of the time for which a borrower waits. */
  private static final int QUEUE_TIME_DIVISOR = 3;

  private final ShareTable table;
  private final LeaseBorrower leaseBorrower;
  private final LeaseSettings settings;

  /**
   * Creates the lending side.
   *
   * @param table the shared table
   * @param leaseBorrower borrows fractions when tokens are short
   * @param settings times of the leases
   */
  public TokenLender(ShareTable table, LeaseBorrower leaseBorrower, LeaseSettings settings) {
    this.table = table;
    this.leaseBorrower = leaseBorrower;
    this.settings = settings;
  }

  /**
   * Handles a request of another VM for tokens.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the answer
   */
  public void onTokenRequest(VmId borrower, TokenRequest request, DeferredEffects effects) {
    WorkspaceLimitState state = table.workspaceState(request.workspace(), effects.nowNanos());
    if (state == null || !state.isNewTokenRequest(borrower, request.requestId())) {
      return;
    }
    state.markUsed();
    state.demand().record(request.count(), effects.nowNanos());
    QueuedTokenRequest queued =
        new QueuedTokenRequest(
            borrower,
            request.requestId(),
            request.count(),
            List.of(),
            effects.nowNanos() + request.validNanos() / QUEUE_TIME_DIVISOR,
            effects.nowNanos() + LeaseSettings.extendForDrift(request.validNanos()));
    if (request.collect()) {
      leaseBorrower.renewIfCollector(state, effects);
      enqueue(state, queued, effects);
    } else if (!state.tokenQueue().isEmpty() || !tryGrant(state, queued, effects)) {
      deny(state, queued, effects);
    }
  }

  /**
   * Answers a request for tokens at once, or keeps it while tokens may arrive in time.
   *
   * @param state the workspace
   * @param queued the request
   * @param effects receives the answer
   */
  public void enqueue(
      WorkspaceLimitState state, QueuedTokenRequest queued, DeferredEffects effects) {
    long now = effects.nowNanos();
    state.tokenQueue().add(queued);
    serveQueue(state, effects);
    if (!state.tokenQueue().contains(queued)) {
      return;
    }
    leaseBorrower.startRoundUnlessRecent(state, effects);
    long wakeNanos = now + retryAfterNanos(state);
    long roundEndNanos = state.lastRoundNanos() + LEASE_ROUND_WAIT_NANOS;
    if (roundEndNanos - now > 0) {
      wakeNanos = Math.min(wakeNanos, Math.min(roundEndNanos, queued.answerByNanos()));
    }
    if (wakeNanos - queued.answerByNanos() > 0) {
      state.tokenQueue().remove(queued);
      deny(state, queued, effects);
    }
  }

  private void serveQueue(WorkspaceId workspace, DeferredEffects effects) {
    WorkspaceLimitState state = table.workspaceState(workspace, effects.nowNanos());
    if (state != null) {
      serveQueue(state, effects);
    }
  }

  /**
   * Grants the tokens that are there to the requests that wait.
   *
   * @param state the workspace, settled
   * @param effects receives the answers
   */
  public void serveQueue(WorkspaceLimitState state, DeferredEffects effects) {
    long now = effects.nowNanos();
    boolean exhausted = false;
    Iterator<QueuedTokenRequest> queue = state.tokenQueue().iterator();
    while (queue.hasNext()) {
      QueuedTokenRequest queued = queue.next();
      exhausted = exhausted || !tryGrant(state, queued, effects);
      if (!exhausted) {
        queue.remove();
      } else if (queued.answerByNanos() - now <= 0) {
        queue.remove();
        deny(state, queued, effects);
      }
    }
    QueuedTokenRequest first = state.tokenQueue().peek();
    if (first != null) {
      long waitNanos = Math.min(first.answerByNanos() - now, state.nanosUntil(1));
      long wakeNanos = now + Math.max(MIN_WAKE_DELAY_NANOS, waitNanos);
      WorkspaceId workspace = state.workspace();
      if (state.needsTimerAt(wakeNanos)) {
        effects.schedule(wakeNanos, later -> serveQueue(workspace, later));
      }
    }
  }

  /** Grants what is there; returns false if nothing is. */
  private static boolean tryGrant(
      WorkspaceLimitState state, QueuedTokenRequest queued, DeferredEffects effects) {
    VmId borrower = queued.borrower();
    if (borrower == null) {
      if (!state.tryConsumeOne()) {
        return false;
      }
      queued
          .localRequests()
          .forEach(request -> effects.decide(request, new LimitDecision.Admitted()));
      return true;
    }
    int taken = state.takeForBorrower(queued.count(), queued.holdUntilNanos());
    if (taken == 0) {
      return false;
    }
    effects.send(
        borrower,
        new TokenGrant(queued.requestId(), state.workspace(), taken, retryAfterNanos(state)));
    return true;
  }

  /**
   * Answers that there is no token.
   *
   * @param state the workspace
   * @param queued the request
   * @param effects receives the answer
   */
  public void deny(WorkspaceLimitState state, QueuedTokenRequest queued, DeferredEffects effects) {
    VmId borrower = queued.borrower();
    long retryAfter = retryAfterNanos(state);
    if (borrower == null) {
      queued.localRequests().forEach(request -> table.refuse(request, retryAfter, effects));
    } else {
      effects.send(borrower, new TokenGrant(queued.requestId(), state.workspace(), 0, retryAfter));
    }
  }

  private static long retryAfterNanos(WorkspaceLimitState state) {
    return Math.min(MAX_RETRY_AFTER_NANOS, state.nanosUntil(1));
  }

  /**
   * Handles a request of another VM for a fraction.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the answer
   */
  public void onLeaseRequest(VmId borrower, LeaseRequest request, DeferredEffects effects) {
    WorkspaceLimitState state = table.workspaceState(request.workspace(), effects.nowNanos());
    if (state == null) {
      return;
    }
    long validNanos = Math.min(request.validNanos(), settings.lease().toNanos());
    WorkspaceLimitState.LendResult result =
        state.lend(
            borrower,
            request.requestId(),
            request.fraction(),
            validNanos,
            state.usefulFraction(state.demand().perSecond(effects.nowNanos())));
    if (result.fraction() > 0) {
      effects.send(
          borrower,
          new LeaseGrant(
              request.requestId(),
              request.workspace(),
              result.fraction(),
              result.tokens(),
              result.validNanos()));
    }
  }
}
