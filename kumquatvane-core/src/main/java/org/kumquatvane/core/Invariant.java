package org.kumquatvane.core;

/** Conditions that must hold at all times; violations of each are counted. */
public enum Invariant {
  /** Healthy capacity that remains after ejection is at or above the service's floor. */
  HEALTHY_CAPACITY_FLOOR,
  /** A request runs for the workspace whose key it carried. */
  WORKSPACE_MATCHES_KEY,
  /** No message to a backend server contains the caller's key. */
  KEY_NOT_FORWARDED,
  /** A withdrawn key admits no request after the withdrawal is in force. */
  WITHDRAWN_KEY_REJECTED,
  /** Shares and leases of a workspace never add up to more than its rate and burst. */
  RATE_CONSERVED,
  /** A response is delivered only to the request it belongs to, and only when complete. */
  ANSWER_COMPLETE,
  /** A request reported as not run was never written to a backend server. */
  NOT_RUN_IS_TRUE,
  /** A non-idempotent operation is attempted at most once. */
  OPERATION_AT_MOST_ONCE,
  /** A leaving instance receives no new request. */
  LEAVING_INSTANCE_AVOIDED,
  /** A planned shutdown aborts no request in flight. */
  STOP_IS_GRACEFUL,
  /** The generation in force never decreases. */
  GENERATION_NEVER_DECREASES
}
