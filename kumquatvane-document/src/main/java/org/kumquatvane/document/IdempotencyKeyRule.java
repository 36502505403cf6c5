package org.kumquatvane.document;

/** Whether requests of a route carry an idempotency key. */
public enum IdempotencyKeyRule {
  /** A key is passed on but not recorded. */
  IGNORED,
  /** A key is recorded if present. */
  OPTIONAL,
  /** A request without a key is refused. */
  REQUIRED
}
