package org.kumquatvane.server.internal;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Sources of randomness of a running process. */
final class Randomness {
  private Randomness() {}

  /** Returns a new generator: each user guards its own by a lock of its own. */
  static UniformRandomProvider create() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(RandomSource.createLong());
  }
}
