package org.kumquatvane.admission;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.WorkspaceId;

/** A request that waits for a slot. */
public interface WaitingRequest {
  /**
   * Returns the workspace that is charged for the slot time.
   *
   * @return the workspace
   */
  WorkspaceId workspace();

  /**
   * Returns when the caller stops waiting.
   *
   * @return the deadline
   */
  Deadline deadline();

  /**
   * Returns the priority of the request among those of its service.
   *
   * @return priority, 0 for the most urgent
   */
  default int priority() {
    return 0;
  }

  /**
   * Returns whether the request can be retried, so that it may be sent to an instance that is
   * suspected of failing.
   *
   * @return whether it can be retried
   */
  default boolean retryable() {
    return false;
  }

  /**
   * Called outside all locks after the request was removed because it cannot complete before its
   * deadline.
   */
  void onDeadlineExpired();
}
