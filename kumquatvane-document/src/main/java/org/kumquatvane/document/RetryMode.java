package org.kumquatvane.document;

/** Retry policy of a service. */
public enum RetryMode {
  /** Never retries. */
  NONE,
  /** Retries up to the maximum number of attempts, without a budget. */
  FIXED,
  /** Retries up to the maximum number of attempts while the service's budget is not exhausted. */
  BUDGETED
}
