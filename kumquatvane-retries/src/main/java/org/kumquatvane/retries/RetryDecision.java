package org.kumquatvane.retries;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Reason;

/** Decision whether to retry. */
public sealed interface RetryDecision {
  /**
   * Retry the request.
   *
   * @param reason reason of kind retry
   * @param notBefore earliest time of the next attempt
   */
  record Retry(Reason reason, Deadline notBefore) implements RetryDecision {}

  /** Return the failure to the caller. */
  record DoNotRetry() implements RetryDecision {}
}
