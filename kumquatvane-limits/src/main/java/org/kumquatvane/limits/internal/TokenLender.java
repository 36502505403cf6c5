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
 * Lends tokens and fractions, and queues requests for which tokens may become available in time.
 * Guarded by the limiter's lock.
 */
public final class TokenLender {
  /** Time to wait for a lease round, which takes about 3 ms between failure domains. */
  private static final long LEASE_ROUND_WAIT_NANOS = 6_000_000L;

  private static final long MAXIMUM_RETRY_AFTER_NANOS = 60_000_000_000L;

  /** Tokens that become available faster are granted together. */
  private static final long MINIMUM_WAKE_DELAY_NANOS = 100_000L;

  /**
   * Divides the borrower's timeout to give the time in the queue; the rest is for the round trip.
   */
  private static final int QUEUE_TIME_DIVISOR = 3;

  private final ShareTable table;
  private final LeaseBorrower leaseBorrower;
  private final LeaseSettings settings;

  /**
   * Creates a lender.
   *
   * @param table the shared table
   * @param leaseBorrower borrows fractions when tokens are short
   * @param settings lease durations
   */
  public TokenLender(ShareTable table, LeaseBorrower leaseBorrower, LeaseSettings settings) {
    this.table = table;
    this.leaseBorrower = leaseBorrower;
    this.settings = settings;
  }

  /**
   * Handles a token request of another VM.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the reply
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
   * Answers a token request at once, or queues it while tokens may become available in time.
   *
   * @param state state of the workspace
   * @param queued the request
   * @param effects receives the reply
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
   * Grants available tokens to the queued requests.
   *
   * @param state state of the workspace, up to date
   * @param effects receives the replies
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
      long wakeNanos = now + Math.max(MINIMUM_WAKE_DELAY_NANOS, waitNanos);
      WorkspaceId workspace = state.workspace();
      if (state.needsTimerAt(wakeNanos)) {
        effects.schedule(wakeNanos, later -> serveQueue(workspace, later));
      }
    }
  }

  /** Grants available tokens; returns false if there are none. */
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
   * Answers a request for which no token is available.
   *
   * @param state state of the workspace
   * @param queued the request
   * @param effects receives the reply
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
    return Math.min(MAXIMUM_RETRY_AFTER_NANOS, state.nanosUntil(1));
  }

  /**
   * Handles a lease request of another VM.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the reply
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
