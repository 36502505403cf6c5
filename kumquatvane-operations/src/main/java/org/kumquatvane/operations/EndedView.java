package org.kumquatvane.operations;

import java.util.List;

/**
 * The last view that a VM held before the current one.
 *
 * @param digest digest of the view
 * @param members its members
 * @param horizonMillis keys with a later time were known to this VM if it was their holder,
 *     milliseconds since the Unix epoch
 */
public record EndedView(long digest, List<ViewMember> members, long horizonMillis) {
  /** Copies the list. */
  public EndedView {
    members = List.copyOf(members);
  }
}
