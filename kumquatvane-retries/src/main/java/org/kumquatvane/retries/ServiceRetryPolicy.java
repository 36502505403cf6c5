package org.kumquatvane.retries;

import org.kumquatvane.core.ServiceName;

/** Applies the policy that the configuration document specifies for the service of a request. */
public final class ServiceRetryPolicy implements RetryPolicy {
  private final RetryPolicy none;
  private final RetryPolicy fixed;
  private final RetryPolicy budgeted;

  /**
   * Creates the policy.
   *
   * @param none policy of mode none
   * @param fixed policy of mode fixed
   * @param budgeted policy of mode budgeted
   */
  public ServiceRetryPolicy(RetryPolicy none, RetryPolicy fixed, RetryPolicy budgeted) {
    this.none = none;
    this.fixed = fixed;
    this.budgeted = budgeted;
  }

  @Override
  public void requestStarted(ServiceName service) {
    budgeted.requestStarted(service);
  }

  @Override
  public RetryDecision decide(RetryContext context) {
    RetryPolicy policy =
        switch (context.service().retry().mode()) {
          case NONE -> none;
          case FIXED -> fixed;
          case BUDGETED -> budgeted;
        };
    return policy.decide(context);
  }
}
