package org.kumquatvane.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.kumquatvane.core.VmId;

/** Rendezvous hashing: orders VMs for a key so that all VMs with the same list agree. */
public final class Rendezvous {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /**
   * Orders VMs for a key. A VM that leaves moves only the keys for which it stood first.
   *
   * @param key the key
   * @param vms the VMs
   * @return the VMs, the preferred one first
   */
  public static List<Vm> order(String key, Collection<Vm> vms) {
    return vms.stream()
        .sorted(
            Comparator.comparingLong((Vm vm) -> weight(key, vm.id()))
                .reversed()
                .thenComparing(Vm::id))
        .toList();
  }

  private static long weight(String key, VmId vm) {
    return mix(hash(hash(FNV_OFFSET_BASIS, key) ^ '|', vm.value()));
  }

  private static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Finalizer of MurmurHash3; FNV alone leaves the high bits of short keys too similar. */
  private static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
