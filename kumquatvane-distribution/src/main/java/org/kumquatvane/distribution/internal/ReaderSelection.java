package org.kumquatvane.distribution.internal;

import java.util.List;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.Rendezvous;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmState;

/** Selects the VMs that read the platform. */
public final class ReaderSelection {
  private static final String KEY_PREFIX = "platform-reader/";

  private ReaderSelection() {}

  /**
   * Returns whether this VM reads the platform. It does so if it is among the first VMs of its
   * failure domain in rendezvous hash order that are live and send heartbeats. Heartbeats of a
   * failed reader stop, so the next VM in order replaces it.
   *
   * @param membership VM list and liveness of peers
   * @param count number of readers in each failure domain
   * @return whether this VM is a reader
   */
  public static boolean includesSelf(FleetMembership membership, int count) {
    Vm self = membership.self();
    List<Vm> candidates =
        membership.listedVms().stream()
            .filter(vm -> vm.failureDomain().equals(self.failureDomain()))
            .filter(vm -> vm.state() == VmState.LIVE && membership.receivesHeartbeatsFrom(vm.id()))
            .toList();
    return Rendezvous.order(KEY_PREFIX + self.failureDomain(), candidates).stream()
        .limit(count)
        .anyMatch(vm -> vm.id().equals(self.id()));
  }
}
