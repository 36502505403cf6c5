package org.kumquatvane.selection;

import java.util.Set;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;

/**
 * What a request needs of a slot.
 *
 * @param excluded instances that must not be chosen
 * @param repeatable whether the request can be sent again if the instance fails it
 * @param patientUntil until when waiting for a better instance costs the caller little
 */
public record SlotNeed(Set<InstanceId> excluded, boolean repeatable, Deadline patientUntil) {
  /** Copies the set. */
  public SlotNeed {
    excluded = Set.copyOf(excluded);
  }
}
