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
  private static final long ROUND_WAIT_NANOS = 6_000_000L;

  private static final long LONGEST_RETRY_AFTER_NANOS = 60_000_000_000L;

  /** Tokens that come faster are granted together. */
  private static final long SHORTEST_WAIT_NANOS = 100_000L;

  /** The way to this VM and back takes the rest of the time for which a borrower waits. */
  private static final int PART_OF_HOLD_PARKED = 3;

  private final ShareTable table;
  private final LeaseRounds rounds;
  private final LeaseSettings settings;

  /**
   * Creates the lending side.
   *
   * @param table the shared table
   * @param rounds borrows fractions when tokens are short
   * @param settings times of the leases
   */
  public TokenLender(ShareTable table, LeaseRounds rounds, LeaseSettings settings) {
    this.table = table;
    this.rounds = rounds;
    this.settings = settings;
  }

  /**
   * Handles a request of another VM for tokens.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the answer
   */
  public void tokensRequested(VmId borrower, TokenRequest request, Effects effects) {
    WorkspaceAccount account = table.account(request.workspace(), effects.now());
    if (account == null || !account.isNewTokenRequest(borrower, request.requestId())) {
      return;
    }
    account.used();
    account.demand().record(request.count(), effects.now());
    ParkedRequest parked =
        new ParkedRequest(
            borrower,
            request.requestId(),
            request.count(),
            List.of(),
            effects.now() + request.validNanos() / PART_OF_HOLD_PARKED,
            effects.now() + LeaseSettings.extend(request.validNanos()));
    if (request.collect()) {
      rounds.renewIfCollecting(account, effects);
      park(account, parked, effects);
    } else if (!account.parked().isEmpty() || !answer(account, parked, effects)) {
      deny(account, parked, effects);
    }
  }

  /**
   * Answers a request for tokens at once, or keeps it while tokens may arrive in time.
   *
   * @param account the workspace
   * @param parked the request
   * @param effects receives the answer
   */
  public void park(WorkspaceAccount account, ParkedRequest parked, Effects effects) {
    long now = effects.now();
    account.parked().add(parked);
    serve(account, effects);
    if (!account.parked().contains(parked)) {
      return;
    }
    rounds.startIfShort(account, effects);
    long wakeNanos = now + retryAfterNanos(account);
    long roundEndNanos = account.roundNanos() + ROUND_WAIT_NANOS;
    if (roundEndNanos - now > 0) {
      wakeNanos = Math.min(wakeNanos, Math.min(roundEndNanos, parked.parkedUntilNanos()));
    }
    if (wakeNanos - parked.parkedUntilNanos() > 0) {
      account.parked().remove(parked);
      deny(account, parked, effects);
    }
  }

  private void serve(WorkspaceId workspace, Effects effects) {
    WorkspaceAccount account = table.account(workspace, effects.now());
    if (account != null) {
      serve(account, effects);
    }
  }

  /**
   * Grants the tokens that are there to the requests that wait.
   *
   * @param account the workspace, settled
   * @param effects receives the answers
   */
  public void serve(WorkspaceAccount account, Effects effects) {
    long now = effects.now();
    boolean empty = false;
    Iterator<ParkedRequest> queue = account.parked().iterator();
    while (queue.hasNext()) {
      ParkedRequest parked = queue.next();
      empty = empty || !answer(account, parked, effects);
      if (!empty) {
        queue.remove();
      } else if (parked.parkedUntilNanos() - now <= 0) {
        queue.remove();
        deny(account, parked, effects);
      }
    }
    ParkedRequest first = account.parked().peek();
    if (first != null) {
      long waitNanos = Math.min(first.parkedUntilNanos() - now, account.nanosUntil(1));
      long wakeNanos = now + Math.max(SHORTEST_WAIT_NANOS, waitNanos);
      WorkspaceId workspace = account.workspace();
      if (account.mayWake(wakeNanos)) {
        effects.at(wakeNanos, later -> serve(workspace, later));
      }
    }
  }

  /** Grants what is there; returns false if nothing is. */
  private static boolean answer(WorkspaceAccount account, ParkedRequest parked, Effects effects) {
    VmId borrower = parked.borrower();
    if (borrower == null) {
      if (!account.takeOne()) {
        return false;
      }
      parked.local().forEach(request -> effects.decide(request, new LimitDecision.Admitted()));
      return true;
    }
    int taken = account.takeForOther(parked.count(), parked.holdUntilNanos());
    if (taken == 0) {
      return false;
    }
    effects.send(
        borrower,
        new TokenGrant(parked.requestId(), account.workspace(), taken, retryAfterNanos(account)));
    return true;
  }

  /**
   * Answers that there is no token.
   *
   * @param account the workspace
   * @param parked the request
   * @param effects receives the answer
   */
  public void deny(WorkspaceAccount account, ParkedRequest parked, Effects effects) {
    VmId borrower = parked.borrower();
    long retryAfter = retryAfterNanos(account);
    if (borrower == null) {
      parked.local().forEach(request -> table.refuse(request, retryAfter, effects));
    } else {
      effects.send(
          borrower, new TokenGrant(parked.requestId(), account.workspace(), 0, retryAfter));
    }
  }

  private static long retryAfterNanos(WorkspaceAccount account) {
    return Math.min(LONGEST_RETRY_AFTER_NANOS, account.nanosUntil(1));
  }

  /**
   * Handles a request of another VM for a fraction.
   *
   * @param borrower the sender
   * @param request its request
   * @param effects receives the answer
   */
  public void leaseRequested(VmId borrower, LeaseRequest request, Effects effects) {
    WorkspaceAccount account = table.account(request.workspace(), effects.now());
    if (account == null) {
      return;
    }
    long validNanos = Math.min(request.validNanos(), settings.lease().toNanos());
    WorkspaceAccount.Lending lending =
        account.lend(
            borrower,
            request.requestId(),
            request.fraction(),
            validNanos,
            account.usefulFraction(account.demand().perSecond(effects.now())));
    if (lending.fraction() > 0) {
      effects.send(
          borrower,
          new LeaseGrant(
              request.requestId(),
              request.workspace(),
              lending.fraction(),
              lending.tokens(),
              lending.validNanos()));
    }
  }
}
