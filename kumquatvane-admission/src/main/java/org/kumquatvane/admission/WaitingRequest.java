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
   * Returns how urgent the request is among those of its service.
   *
   * @return rank, 0 for the most urgent
   */
  default int priority() {
    return 0;
  }

  /**
   * Tells whether running the request twice does no harm, so that it may go to an instance that may
   * fail it.
   *
   * @return whether it can be sent again
   */
  default boolean retryable() {
    return false;
  }

  /** Tells the request that its deadline passed while it waited; called outside all locks. */
  void onDeadlineExpired();
}
