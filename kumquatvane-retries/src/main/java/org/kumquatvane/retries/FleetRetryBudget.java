package org.kumquatvane.retries;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.ServiceName;

/**
 * Retries while this VM has a share left of a retry budget for all VMs.
 *
 * <p>In each window, all VMs together may make a fixed number of retries for a service plus a ratio
 * of its requests. Each VM applies the ratio to its own requests and divides the fixed number by
 * the number of VMs, so that the shares add up to the budget without messages. While more urgent
 * requests also need retries, a part of the budget is reserved for them.
 */
public final class FleetRetryBudget implements RetryPolicy {
  /** Used part of the fixed number; the rest covers VMs that have not discovered each other yet. */
  private static final double FIXED_SAFETY_FACTOR = 0.8;

  /** Used part of the ratio; the rest covers retries that reach instances late. */
  private static final double RATIO_SAFETY_FACTOR = 0.95;

  /** Part of the budget for requests that are less urgent than others that need retries. */
  private static final double LESS_URGENT_SHARE = 0.6;

  /** Number of slices into which the window is divided for counting. */
  private static final int SLICES = 10;

  /** One more slice for retries, so that no interval of the window length exceeds the budget. */
  private static final int RETAINED_SLICES = SLICES + 1;

  private static final int NO_PRIORITY = Integer.MAX_VALUE;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final RetryPolicy delegate;
  private final Limits limits;
  private final IntSupplier vms;
  private final Clock clock;
  private final Counters counters;
  private final Map<ServiceName, ServiceBudget> budgets = new HashMap<>();

  /**
   * Budget of each service for all VMs.
   *
   * @param ratio retries allowed per request in a window
   * @param fixed additional retries allowed in a window
   * @param window length of the window
   */
  public record Limits(double ratio, double fixed, Duration window) {}

  /**
   * Creates the policy with full budgets.
   *
   * @param delegate decides within the attempt limit of a request
   * @param limits the budget of the fleet
   * @param vms number of VMs that may be running
   * @param clock clock of the windows
   * @param counters counts exhausted budgets
   */
  public FleetRetryBudget(
      RetryPolicy delegate, Limits limits, IntSupplier vms, Clock clock, Counters counters) {
    this.delegate = delegate;
    this.limits = limits;
    this.vms = vms;
    this.clock = clock;
    this.counters = counters;
  }

  @Override
  public void requestStarted(ServiceName service) {
    lock.run(() -> budget(service).requests[currentSlice(service)]++);
  }

  @Override
  public RetryDecision decide(RetryContext context) {
    RetryDecision decision = delegate.decide(context);
    if (!(decision instanceof RetryDecision.Retry)) {
      return decision;
    }
    int vmCount = Math.max(1, vms.getAsInt());
    ServiceName service = context.service().name();
    if (lock.call(() -> trySpend(service, context.priority(), vmCount))) {
      return decision;
    }
    counters.add("retries.budget_exhausted", 1);
    return new RetryDecision.DoNotRetry();
  }

  private boolean trySpend(ServiceName service, int priority, int vmCount) {
    int slice = currentSlice(service);
    ServiceBudget budget = budget(service);
    int oldest = budget.requests[Math.floorMod(slice + 1, RETAINED_SLICES)];
    double allowed =
        RATIO_SAFETY_FACTOR * limits.ratio() * (sum(budget.requests) - oldest)
            + FIXED_SAFETY_FACTOR * limits.fixed() / vmCount;
    budget.mostUrgentPriority[slice] = Math.min(budget.mostUrgentPriority[slice], priority);
    if (Arrays.stream(budget.mostUrgentPriority).min().orElse(priority) < priority) {
      allowed *= LESS_URGENT_SHARE;
    }
    if (sum(budget.retries) + 1 > allowed) {
      return false;
    }
    budget.retries[slice]++;
    return true;
  }

  private static int sum(int[] slices) {
    int sum = 0;
    for (int count : slices) {
      sum += count;
    }
    return sum;
  }

  /** Returns the current slice of the window after clearing the expired ones. */
  private int currentSlice(ServiceName service) {
    ServiceBudget budget = budget(service);
    long number = clock.monotonicNanos() / (limits.window().toNanos() / SLICES);
    for (long passed = Math.max(budget.newestSlice + 1, number - RETAINED_SLICES + 1);
        passed <= number;
        passed++) {
      int cleared = Math.floorMod(passed, RETAINED_SLICES);
      budget.requests[cleared] = 0;
      budget.retries[cleared] = 0;
      budget.mostUrgentPriority[cleared] = NO_PRIORITY;
    }
    budget.newestSlice = Math.max(budget.newestSlice, number);
    return Math.floorMod(number, RETAINED_SLICES);
  }

  private ServiceBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, unused -> new ServiceBudget());
  }

  private static final class ServiceBudget {
    private final int[] requests = new int[RETAINED_SLICES];
    private final int[] retries = new int[RETAINED_SLICES];
    private final int[] mostUrgentPriority = new int[RETAINED_SLICES];
    private long newestSlice = Long.MIN_VALUE / 2;
  }
}
