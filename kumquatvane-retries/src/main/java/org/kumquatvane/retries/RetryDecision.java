package org.kumquatvane.retries;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Reason;

/** Whether an attempt is made again. */
public sealed interface RetryDecision {
  /**
   * Make another attempt.
   *
   * @param reason why, of kind retry
   * @param notBefore when to make it
   */
  record Retry(Reason reason, Deadline notBefore) implements RetryDecision {}

  /** Answer the caller now. */
  record DoNotRetry() implements RetryDecision {}
}
