package org.kumquatvane.membership;

import java.util.List;

/** Selects the VMs that share views. Scopes divide a fleet that is larger than one cell. */
@FunctionalInterface
public interface VmScope {
  /**
   * Selects from the listed entry VMs.
   *
   * @param entryVms all entry VMs of the VM list
   * @return the VMs in the scope of this VM
   */
  List<Vm> select(List<Vm> entryVms);
}
