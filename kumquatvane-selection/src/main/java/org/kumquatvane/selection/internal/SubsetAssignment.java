package org.kumquatvane.selection.internal;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.RendezvousHash;
import org.kumquatvane.core.VmId;

/**
 * Assigns a subset of the instances of each service to each VM of the failure domain by rendezvous
 * hashing. A VM prefers the instances assigned to it, and the VMs that an instance is assigned to
 * exchange their attempts at it and the outcomes.
 *
 * <p>Without subsets, the number of messages grows with the square of the number of VMs, and a VM
 * reaches each instance so rarely that its idle connections expire. Guarded by the pool's lock.
 */
public final class SubsetAssignment {
  /**
   * Instances of a service assigned to a VM: of eight, about six are healthy, which is several
   * times the capacity that one VM needs.
   */
  private static final int INSTANCES_PER_VM = 8;

  private final VmId self;
  private List<VmId> domainVms;
  private int version;

  /**
   * Creates the assignment of a VM without peers.
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
   * @param peers their ids in a stable order
   */
  public void setPeers(List<VmId> peers) {
    List<VmId> newest = new ArrayList<>(peers);
    newest.add(self);
    if (!newest.equals(domainVms)) {
      domainVms = newest;
      version++;
    }
  }

  /** Returns a number that changes whenever the set of VMs changes. */
  int version() {
    return version;
  }

  /** Returns all VMs of the domain in the order in which an instance is assigned to them. */
  List<VmId> assignmentOrder(InstanceId instance) {
    return RendezvousHash.order(instance.value(), domainVms, vm -> vm);
  }

  /**
   * Returns the number of VMs that each instance is assigned to.
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
