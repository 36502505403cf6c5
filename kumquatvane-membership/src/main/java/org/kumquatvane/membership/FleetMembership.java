package org.kumquatvane.membership;

import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.VmId;

/** Membership of the fleet as seen by this VM. */
public interface FleetMembership {
  /**
   * Returns this VM as its settings describe it.
   *
   * @return this VM
   */
  Vm self();

  /**
   * Returns the agreed view if it is valid now by this VM's clock.
   *
   * @return the view, or empty
   */
  Optional<AgreedView> agreedView();

  /**
   * Returns the entry VMs of the newest VM list, this VM included.
   *
   * @return the VMs, live and leaving
   */
  List<Vm> listedVms();

  /**
   * Returns whether this VM receives heartbeats from another VM that has not announced its
   * departure.
   *
   * @param vm a listed VM, or this one
   * @return whether the VM is reachable from this VM
   */
  default boolean receivesHeartbeatsFrom(VmId vm) {
    return listedVms().stream().anyMatch(listed -> listed.id().equals(vm));
  }

  /**
   * Adds a listener; not thread-safe, for start-up only.
   *
   * @param listener called on later changes
   */
  void addListener(MembershipListener listener);
}
