package org.kumquatvane.membership;

import java.util.List;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;

/**
 * A set of VMs that have all promised to act on this set and no other until a deadline.
 *
 * @param digest identifies the set of members
 * @param members the members, ordered by name
 * @param validUntil until when every member's promise holds, on this VM's clock
 */
public record AgreedView(long digest, List<Vm> members, Deadline validUntil) {
  /** Copies the list. */
  public AgreedView {
    members = List.copyOf(members);
  }

  /**
   * Tells whether a VM is a member.
   *
   * @param vm the VM
   * @return whether it is in the set
   */
  public boolean contains(VmId vm) {
    return members.stream().anyMatch(member -> member.id().equals(vm));
  }
}
