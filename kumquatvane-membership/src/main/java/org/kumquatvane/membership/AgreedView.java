package org.kumquatvane.membership;

import java.util.List;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;

/**
 * Set of VMs that have all promised to act on this set, and on no other, until a deadline.
 *
 * @param digest identifies the set of members
 * @param members the members, ordered by name
 * @param validUntil end of the earliest member's promise, on this VM's clock
 */
public record AgreedView(long digest, List<Vm> members, Deadline validUntil) {
  /** Copies the list. */
  public AgreedView {
    members = List.copyOf(members);
  }

  /**
   * Returns whether a VM is a member.
   *
   * @param vm the VM
   * @return whether it is in the set
   */
  public boolean contains(VmId vm) {
    return members.stream().anyMatch(member -> member.id().equals(vm));
  }
}
