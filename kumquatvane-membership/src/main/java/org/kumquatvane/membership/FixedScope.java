package org.kumquatvane.membership;

import java.util.List;
import java.util.Set;
import org.kumquatvane.core.VmId;

/**
 * Scope of the named VMs.
 *
 * @param members names of the VMs in scope
 */
public record FixedScope(Set<VmId> members) implements VmScope {
  /** Copies the set. */
  public FixedScope {
    members = Set.copyOf(members);
  }

  @Override
  public List<Vm> select(List<Vm> entryVms) {
    return entryVms.stream().filter(vm -> members.contains(vm.id())).toList();
  }
}
