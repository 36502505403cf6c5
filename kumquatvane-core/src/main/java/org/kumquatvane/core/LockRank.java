package org.kumquatvane.core;

/**
 * Lock order. A thread may acquire a lock only if its rank is higher than that of every lock it
 * holds.
 *
 * <p>The declaration order is the rank order. docs/design.md lists the table that each rank guards.
 */
public enum LockRank {
  /** Documents in transfer, known key withdrawals and the newest VM list. */
  DISTRIBUTION,
  /** Configuration in force and its generation. */
  CONFIGURATION,
  /** VM list, peer evidence and the agreed view. */
  MEMBERSHIP,
  /** Digests of callers' keys. */
  KEYS,
  /** Shares, leases and token buckets of workspaces. */
  LIMITS,
  /** Records of non-idempotent operations. */
  OPERATIONS,
  /** Requests waiting for a slot. */
  ADMISSION,
  /** Evidence and ejection state of instances. */
  EJECTION,
  /** In-flight counts and connections of instances. */
  SELECTION,
  /** Retry budgets of services. */
  RETRIES,
  /** Requests in flight. */
  IN_FLIGHT,
  /** Connections to backend servers. */
  CONNECTIONS,
  /** Queues of the worker pool. */
  WORKERS
}
