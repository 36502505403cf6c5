package org.kumquatvane.document;

/** Handling of the idempotency key of a route's requests. */
public enum IdempotencyKeyRule {
  /** A key is forwarded but not recorded. */
  IGNORED,
  /** A key is recorded if present. */
  OPTIONAL,
  /** A request without a key is rejected. */
  REQUIRED
}
