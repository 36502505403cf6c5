package org.kumquatvane.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: all VMs with the same list derive the same order for a key. */
public final class RendezvousHash {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Orders candidates for a key. A candidate that leaves moves only the keys for which it stood
   * first.
   *
   * @param key the key
   * @param candidates the candidates
   * @param name VM of a candidate
   * @param <T> type of the candidates
   * @return the candidates, the preferred one first
   */
  public static <T> List<T> order(String key, Collection<T> candidates, Function<T, VmId> name) {
    return candidates.stream()
        .map(candidate -> new Weighed<>(candidate, name.apply(candidate), key))
        .sorted(
            Comparator.comparingLong(Weighed<T>::weight).reversed().thenComparing(Weighed::name))
        .map(Weighed::candidate)
        .toList();
  }

  private record Weighed<T>(T candidate, VmId name, long weight) {
    private Weighed(T candidate, VmId name, String key) {
      this(candidate, name, mix(hash(hash(FNV_OFFSET_BASIS, key) ^ '|', name.value())));
    }
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
