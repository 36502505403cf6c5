package org.kumquatvane.selection;

import java.util.Set;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;

/**
 * What a request needs of a slot.
 *
 * @param excluded instances that must not be chosen
 * @param retryable whether the request can be sent again if the instance fails it
 * @param mayWaitUntil until when waiting for a better instance costs the caller little
 */
public record SlotRequirements(Set<InstanceId> excluded, boolean retryable, Deadline mayWaitUntil) {
  /** Copies the set. */
  public SlotRequirements {
    excluded = Set.copyOf(excluded);
  }
}
