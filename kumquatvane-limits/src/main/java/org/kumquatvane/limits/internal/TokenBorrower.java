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
 * Admits requests at this VM, with tokens of other VMs if need be. Guarded by the limiter's lock.
 */
public final class TokenBorrower {
  private static final long RETRY_AFTER_NANOS = 20_000_000L;
  private static final int CONCURRENT_ASKS = 4;
  private static final int LONGEST_BACKLOG = 1_024;

  /** The collector and two others, one after the other, so that no granted token is left over. */
  private static final int VMS_ASKED = 3;

  private final ShareTable table;
  private final LeaseRounds rounds;
  private final TokenLender lender;
  private final TokenAsks asks;

  /**
   * Creates the borrowing side.
   *
   * @param table the shared table
   * @param rounds borrows fractions
   * @param lender serves requests that wait at this VM
   * @param settings times of the tokens
   */
  public TokenBorrower(
      ShareTable table, LeaseRounds rounds, TokenLender lender, LeaseSettings settings) {
    this.table = table;
    this.rounds = rounds;
    this.lender = lender;
    asks = new TokenAsks(settings.shortestTokenHold().toNanos());
  }

  /**
   * Decides on a new request, now or later.
   *
   * @param workspace its workspace
   * @param request the request
   * @param effects receives decision and messages
   */
  public void acquire(WorkspaceId workspace, WaitingRequest request, Effects effects) {
    WorkspaceAccount account = table.account(workspace, effects.now());
    if (account == null) {
      effects.decide(request, new LimitDecision.Unsettled());
      return;
    }
    account.used();
    account.demand().record(1, effects.now());
    rounds.renewIfCollecting(account, effects);
    if (account.parked().isEmpty() && account.backlog().isEmpty() && account.takeOne()) {
      effects.decide(request, new LimitDecision.Admitted());
      return;
    }
    long refusedNanos = account.refusedUntilNanos() - effects.now();
    if (refusedNanos > 0 || account.backlog().size() >= LONGEST_BACKLOG) {
      table.refuse(request, Math.max(1, refusedNanos), effects);
      return;
    }
    waitForToken(account, request, effects);
  }

  private void waitForToken(WorkspaceAccount account, WaitingRequest request, Effects effects) {
    VmId collector = table.collector(account, effects.now());
    if (collector == null || request.deadline().nanos() - effects.now() <= 0) {
      table.refuse(request, RETRY_AFTER_NANOS, effects);
    } else if (table.isSelf(collector)) {
      long until = effects.now() + asks.holdNanos();
      lender.park(account, new ParkedRequest(null, 0, 1, List.of(request), until, until), effects);
    } else {
      rounds.askCollector(account, collector, effects);
      if (account.asksInFlight() < CONCURRENT_ASKS) {
        ask(account, collector, List.of(request), true, effects);
      } else {
        account.backlog().add(request);
      }
    }
  }

  private void ask(
      WorkspaceAccount account,
      VmId target,
      List<WaitingRequest> requests,
      boolean collect,
      Effects effects) {
    long requestId = table.nextRequestId();
    long now = effects.now();
    long hold = asks.holdNanos();
    asks.add(requestId, new TokenAsks.Ask(account.workspace(), target, requests, now, now + hold));
    account.addAsks(1);
    effects.send(
        target, new TokenRequest(requestId, account.workspace(), requests.size(), collect, hold));
    effects.at(now + hold, later -> timedOut(requestId, later));
  }

  private void askForBacklog(WorkspaceAccount account, Effects effects) {
    if (account.backlog().isEmpty()) {
      return;
    }
    VmId collector = table.collector(account, effects.now());
    List<WaitingRequest> requests = new ArrayList<>(account.backlog());
    account.backlog().clear();
    if (collector == null || table.isSelf(collector)) {
      requests.forEach(request -> waitForToken(account, request, effects));
    } else {
      ask(account, collector, requests, true, effects);
    }
  }

  /**
   * Spends granted tokens at once on the requests that wait for them.
   *
   * @param sender the VM that granted them
   * @param grant the grant
   * @param effects receives the decisions
   */
  public void granted(VmId sender, TokenGrant grant, Effects effects) {
    TokenAsks.Ask ask = asks.answered(grant.requestId(), sender, effects.now());
    if (ask == null) {
      return;
    }
    WorkspaceAccount account = table.account(ask.workspace(), effects.now());
    if (account == null) {
      unsettle(ask.requests(), effects);
      return;
    }
    account.addAsks(-1);
    List<WaitingRequest> denied = new ArrayList<>();
    int left = Math.min(grant.count(), ask.requests().size());
    for (WaitingRequest request : ask.requests()) {
      if (request.deadline().nanos() - effects.now() <= 0) {
        table.refuse(request, grant.retryAfterNanos(), effects);
      } else if (left > 0) {
        left--;
        effects.decide(request, new LimitDecision.Admitted());
      } else {
        denied.add(request);
      }
    }
    if (denied.isEmpty()) {
      account.granted();
    } else {
      askOther(account, denied, grant.retryAfterNanos(), effects);
    }
    askForBacklog(account, effects);
  }

  /** Asks a VM that is not the collector for tokens of its own, or refuses. */
  private void askOther(
      WorkspaceAccount account, List<WaitingRequest> denied, long retryNanos, Effects effects) {
    List<WaitingRequest> again = new ArrayList<>();
    VmId other = account.nextOf(table.others(account, effects.now()));
    for (WaitingRequest request : denied) {
      if (other != null && request.asked() + 1 < VMS_ASKED) {
        again.add(request.askedAgain());
      } else {
        account.refused();
        table.refuse(request, retryNanos, effects);
      }
    }
    if (other != null && !again.isEmpty()) {
      ask(account, other, again, false, effects);
    }
  }

  private void timedOut(long requestId, Effects effects) {
    TokenAsks.Ask ask = asks.timedOut(requestId);
    if (ask != null) {
      table.suspect(ask.target(), effects.now());
      askAgain(ask, effects);
    }
  }

  private void askAgain(TokenAsks.Ask ask, Effects effects) {
    WorkspaceAccount account = table.account(ask.workspace(), effects.now());
    if (account == null) {
      unsettle(ask.requests(), effects);
      return;
    }
    account.addAsks(-1);
    for (WaitingRequest request : ask.requests()) {
      if (request.asked() + 1 < VMS_ASKED) {
        waitForToken(account, request.askedAgain(), effects);
      } else {
        table.refuse(request, RETRY_AFTER_NANOS, effects);
      }
    }
    askForBacklog(account, effects);
  }

  /**
   * Makes all tokens in flight for a workspace void, since its rate has changed.
   *
   * @param workspace the workspace
   * @param effects receives new requests and decisions
   */
  public void voidTokensInFlight(WorkspaceId workspace, Effects effects) {
    asks.endAll(workspace).forEach(ask -> askAgain(ask, effects));
  }

  /**
   * Ends all requests that wait for another VM.
   *
   * @param effects receives the decisions
   */
  public void dropAll(Effects effects) {
    asks.endAll(null).forEach(ask -> unsettle(ask.requests(), effects));
  }

  /**
   * Decides that no share is settled.
   *
   * @param requests the requests
   * @param effects receives the decisions
   */
  public static void unsettle(Iterable<WaitingRequest> requests, Effects effects) {
    requests.forEach(request -> effects.decide(request, new LimitDecision.Unsettled()));
  }
}
