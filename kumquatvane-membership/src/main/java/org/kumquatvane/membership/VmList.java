package org.kumquatvane.membership;

import java.util.List;

/**
 * Snapshot of the platform's VM list, which lags behind the actual state.
 *
 * @param version version assigned by the platform; increases with each change
 * @param entryVms the VMs of the fleet
 * @param backendVms the instances of all services
 */
public record VmList(long version, List<Vm> entryVms, List<BackendVm> backendVms) {
  /** Copies the lists. */
  public VmList {
    entryVms = List.copyOf(entryVms);
    backendVms = List.copyOf(backendVms);
  }
}
