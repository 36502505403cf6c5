package org.kumquatvane.membership;

import java.util.Collection;
import java.util.List;
import org.kumquatvane.core.RendezvousHash;

/** Rendezvous hashing: orders VMs for a key so that all VMs with the same list agree. */
public final class Rendezvous {
  private Rendezvous() {}

  /**
   * Orders VMs for a key. The removal of a VM reassigns only the keys for which it was first.
   *
   * @param key the key
   * @param vms the VMs
   * @return the VMs, the preferred one first
   */
  public static List<Vm> order(String key, Collection<Vm> vms) {
    return RendezvousHash.order(key, vms, Vm::id);
  }
}
