package org.kumquatvane.limits;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.WorkspaceId;

/** Admits requests of a workspace within its rate and burst across the whole fleet. */
public interface RateLimiter {
  /**
   * Acquires one token.
   *
   * @param workspace the workspace of the request
   * @param deadline when the caller stops waiting
   * @param decision receives exactly one decision, on this thread or later on the worker pool
   */
  void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision);
}
