package org.kumquatvane.document;

/** Ways to decide about retries. */
public enum RetryMode {
  /** Never retry. */
  NONE,
  /** Retry up to the cap, without a budget. */
  FIXED,
  /** Retry up to the cap while the service's budget lasts. */
  BUDGETED
}
