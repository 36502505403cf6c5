package org.kumquatvane.server.internal;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Creates random number generators. */
final class Randomness {
  private Randomness() {}

  /**
   * Returns a new generator. It is not thread-safe: each user guards its instance by its own lock.
   */
  static UniformRandomProvider create() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(RandomSource.createLong());
  }
}
