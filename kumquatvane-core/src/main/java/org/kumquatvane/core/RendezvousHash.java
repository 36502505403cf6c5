package org.kumquatvane.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: all VMs with the same list compute the same order for a key. */
public final class RendezvousHash {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Orders candidates by preference for a key. Removing a candidate moves only the keys for which
   * it was the first choice.
   *
   * @param key the key
   * @param candidates the candidates
   * @param vmOf returns the VM of a candidate
   * @param <T> type of the candidates
   * @return the candidates, the preferred one first
   */
  public static <T> List<T> order(String key, Collection<T> candidates, Function<T, VmId> vmOf) {
    return candidates.stream()
        .map(candidate -> new WeightedCandidate<>(candidate, vmOf.apply(candidate), key))
        .sorted(
            Comparator.comparingLong(WeightedCandidate<T>::weight)
                .reversed()
                .thenComparing(WeightedCandidate::vm))
        .map(WeightedCandidate::candidate)
        .toList();
  }

  private record WeightedCandidate<T>(T candidate, VmId vm, long weight) {
    private WeightedCandidate(T candidate, VmId vm, String key) {
      this(candidate, vm, mix(hash(hash(FNV_OFFSET_BASIS, key) ^ '|', vm.value())));
    }
  }

  private static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Finalizer of MurmurHash3, since FNV alone distributes the high bits of short keys poorly. */
  private static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
