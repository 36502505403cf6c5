package org.kumquatvane.membership;

import java.util.List;

/**
 * The platform's VM list as read at one moment; it lags behind the truth.
 *
 * @param version version that the platform gave it; rises with each change
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
