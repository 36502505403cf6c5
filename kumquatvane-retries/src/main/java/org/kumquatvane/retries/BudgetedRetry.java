package org.kumquatvane.retries;

import java.util.HashMap;
import java.util.Map;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.ServiceName;

/**
 * Retries while the service has retry budget left.
 *
 * <p>Each logical request adds a fraction of a retry to the budget of its service, and each retry
 * uses up a whole one. During a persistent failure, the extra load is therefore at most {@code
 * budgetPercent} of the requests.
 */
public final class BudgetedRetry implements RetryPolicy {
  /**
   * Maximum number of retries that a budget accumulates; enough for the loss of an instance with 3
   * slots.
   */
  private static final double MAXIMUM_ACCUMULATED_RETRIES = 10;

  private static final double PERCENT = 100;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final RetryPolicy delegate;
  private final Counters counters;
  private final Map<ServiceName, Budget> budgets = new HashMap<>();

  /**
   * Creates the policy with full budgets.
   *
   * @param delegate decides within the attempt limit of a request
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

  /**
   * Retry budget of a service. The credit is counted in requests, of which each retry consumes its
   * cost.
   */
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
