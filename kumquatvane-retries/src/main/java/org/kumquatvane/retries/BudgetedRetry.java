package org.kumquatvane.retries;

import java.util.HashMap;
import java.util.Map;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.ServiceName;

/**
 * Repeats attempts while the service's budget lasts.
 *
 * <p>Each logical request earns its service a part of a retry; each retry costs a whole one. Under
 * a lasting failure the extra load is therefore at most {@code budgetPercent} of the requests.
 */
public final class BudgetedRetry implements RetryPolicy {
  /** Retries that a service may save up; enough for the loss of one instance with 3 slots. */
  private static final double MAXIMUM_SAVED_RETRIES = 10;

  private static final double PERCENT = 100;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final RetryPolicy capped;
  private final Counters counters;
  private final Map<ServiceName, Budget> budgets = new HashMap<>();

  /**
   * Creates the policy with full budgets.
   *
   * @param capped decides within the cap per logical request
   * @param counters counts exhausted budgets
   */
  public BudgetedRetry(RetryPolicy capped, Counters counters) {
    this.capped = capped;
    this.counters = counters;
  }

  @Override
  public void requestStarted(ServiceName service) {
    lock.run(() -> budget(service).earn());
  }

  @Override
  public RetryDecision decide(RetryContext context) {
    RetryDecision decision = capped.decide(context);
    if (decision instanceof RetryDecision.Retry
        && !lock.call(() -> budget(context.service().name()).spend(context))) {
      counters.add("retries.budget_exhausted", 1);
      return new RetryDecision.GiveUp();
    }
    return decision;
  }

  private Budget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, unused -> new Budget());
  }

  /** Requests counted since the last retries, in requests. */
  private static final class Budget {
    private double earned = Double.MAX_VALUE;

    private void earn() {
      earned++;
    }

    private boolean spend(RetryContext context) {
      int percent = context.service().retry().budgetPercent();
      if (percent <= 0) {
        return false;
      }
      double price = PERCENT / percent;
      earned = Math.min(earned, MAXIMUM_SAVED_RETRIES * price);
      if (earned < price) {
        return false;
      }
      earned -= price;
      return true;
    }
  }
}
