package org.kumquatvane.membership;

import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.VmId;

/** What this VM knows about the other VMs of the fleet. */
public interface FleetMembership {
  /**
   * Returns this VM as it stands in its settings.
   *
   * @return this VM
   */
  Vm self();

  /**
   * Returns the agreed view if it is valid at this moment on this VM's clock.
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
   * Tells whether this VM hears another one and has no announcement of its departure.
   *
   * @param vm a listed VM, or this one
   * @return whether it takes part by the evidence of this VM
   */
  default boolean receivesHeartbeatsFrom(VmId vm) {
    return listedVms().stream().anyMatch(listed -> listed.id().equals(vm));
  }

  /**
   * Adds a listener; not thread-safe, for start-up only.
   *
   * @param listener learns of later changes
   */
  void addListener(MembershipListener listener);
}
