package org.kumquatvane.retries;

import org.kumquatvane.core.ServiceName;

/** Decides whether failed attempts are made again. */
public interface RetryPolicy {
  /**
   * Takes note of a logical request, which earns its service a part of a retry.
   *
   * @param service the service
   */
  default void requestStarted(ServiceName service) {}

  /**
   * Decides about a failed attempt.
   *
   * @param context what is known
   * @return the decision
   */
  RetryDecision decide(RetryContext context);
}
