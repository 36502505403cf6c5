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
  private static final double MAXIMUM_ACCUMULATED_RETRIES = 10;

  private static final double PERCENT = 100;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final RetryPolicy delegate;
  private final Counters counters;
  private final Map<ServiceName, Budget> budgets = new HashMap<>();

  /**
   * Creates the policy with full budgets.
   *
   * @param delegate decides within the cap per logical request
   * @param counters counts exhausted budgets
   */
  public BudgetedRetry(RetryPolicy delegate, Counters counters) {
    this.delegate = delegate;
    this.counters = counters;
  }

  @Override
  public void requestStarted(ServiceName service) {
    lock.run(() -> budget(service).addCredit());
  }

  @Override
  public RetryDecision decide(RetryContext context) {
    RetryDecision decision = delegate.decide(context);
    if (decision instanceof RetryDecision.Retry
        && !lock.call(() -> budget(context.service().name()).trySpend(context))) {
      counters.add("retries.budget_exhausted", 1);
      return new RetryDecision.DoNotRetry();
    }
    return decision;
  }

  private Budget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, unused -> new Budget());
  }

  /** Requests counted since the last retries, in requests. */
  private static final class Budget {
    private double credit = Double.MAX_VALUE;

    private void addCredit() {
      credit++;
    }

    private boolean trySpend(RetryContext context) {
      int percent = context.service().retry().budgetPercent();
      if (percent <= 0) {
        return false;
      }
      double cost = PERCENT / percent;
      credit = Math.min(credit, MAXIMUM_ACCUMULATED_RETRIES * cost);
      if (credit < cost) {
        return false;
      }
      credit -= cost;
      return true;
    }
  }
}
