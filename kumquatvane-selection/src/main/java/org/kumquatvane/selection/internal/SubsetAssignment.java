package org.kumquatvane.selection.internal;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.RendezvousHash;
import org.kumquatvane.core.VmId;

/**
 * Which VMs of the failure domain share an instance: they send requests to it before other VMs do,
 * and tell each other at once what they send and what comes back.
 *
 * <p>With all VMs of a domain sharing all instances the messages grow with the square of the VMs,
 * and a VM returns to an instance so rarely that its connections have lapsed. Each VM therefore
 * shares a few instances of each service, by rendezvous assignmentOrder. Guarded by the pool's
 * lock.
 */
public final class SubsetAssignment {
  /**
   * Instances of a service that a VM shares: about six sound ones of eight, which is several times
   * the load of one VM.
   */
  private static final int INSTANCES_PER_VM = 8;

  private final VmId self;
  private List<VmId> domainVms;
  private int version;

  /**
   * Creates the subsets of a VM that knows no other.
   *
   * @param self this VM
   */
  public SubsetAssignment(VmId self) {
    this.self = self;
    domainVms = List.of(self);
  }

  /**
   * Replaces the other VMs of the failure domain.
   *
   * @param peers their names in a stable assignmentOrder
   */
  public void setPeers(List<VmId> peers) {
    List<VmId> newest = new ArrayList<>(peers);
    newest.add(self);
    if (!newest.equals(domainVms)) {
      domainVms = newest;
      version++;
    }
  }

  /** Returns a number that changes with the VMs. */
  int version() {
    return version;
  }

  /** Returns all VMs of the domain in the assignmentOrder in which they share an instance. */
  List<VmId> assignmentOrder(InstanceId instance) {
    return RendezvousHash.order(instance.value(), domainVms, vm -> vm);
  }

  /**
   * Returns how many VMs share one instance.
   *
   * @param instances instances of the service in the failure domain
   */
  int vmsPerInstance(int instances) {
    double wanted = (double) INSTANCES_PER_VM * domainVms.size() / Math.max(1, instances);
    return Math.min(domainVms.size(), (int) Math.ceil(wanted));
  }

  VmId self() {
    return self;
  }
}
