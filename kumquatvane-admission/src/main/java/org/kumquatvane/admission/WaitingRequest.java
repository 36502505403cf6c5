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

  /** Tells the request that its deadline passed while it waited; called outside all locks. */
  void expired();
}
