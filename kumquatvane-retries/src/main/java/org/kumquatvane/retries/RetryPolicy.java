package org.kumquatvane.retries;

import org.kumquatvane.core.ServiceName;

/** Decides whether to retry after failed attempts. */
public interface RetryPolicy {
  /**
   * Records the start of a logical request, which adds to the retry budget of its service.
   *
   * @param service the service
   */
  default void requestStarted(ServiceName service) {}

  /**
   * Decides about a failed attempt.
   *
   * @param context state of the request
   * @return the decision
   */
  RetryDecision decide(RetryContext context);
}
