package org.kumquatvane.operations;

import java.util.List;

/**
 * Last view that a VM held before the current one.
 *
 * @param digest digest of the view
 * @param members its members
 * @param horizonMillis if this VM was the holder of a key with a later creation time, it knew every
 *     run of that key; milliseconds since the Unix epoch
 */
public record EndedView(long digest, List<ViewMember> members, long horizonMillis) {
  /** Copies the list. */
  public EndedView {
    members = List.copyOf(members);
  }
}
