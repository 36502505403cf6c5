package org.kumquatvane.selection;

import java.util.Set;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;

/**
 * Requirements of a request for a slot.
 *
 * @param excluded instances that must not be selected
 * @param retryable whether the request can be retried if the attempt fails
 * @param mayWaitUntil time until which the request may wait for a healthier instance
 */
public record SlotRequirements(Set<InstanceId> excluded, boolean retryable, Deadline mayWaitUntil) {
  /** Copies the set. */
  public SlotRequirements {
    excluded = Set.copyOf(excluded);
  }
}
