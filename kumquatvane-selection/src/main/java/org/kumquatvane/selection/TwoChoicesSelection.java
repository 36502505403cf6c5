package org.kumquatvane.selection;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses the less loaded of two random instances, by the slots that this VM uses. */
public final class TwoChoicesSelection implements SelectionPolicy {
  private final UniformRandomProvider random;

  /**
   * Creates the policy.
   *
   * @param random seeded source of the choices, used under the pool's lock only
   */
  public TwoChoicesSelection(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public int choose(List<Candidate> candidates) {
    if (candidates.size() == 1) {
      return 0;
    }
    int first = random.nextInt(candidates.size());
    int second = random.nextInt(candidates.size() - 1);
    if (second >= first) {
      second++;
    }
    return load(candidates.get(second)) < load(candidates.get(first)) ? second : first;
  }

  private static int load(Candidate candidate) {
    // A cold instance counts as busier, so that it gets a smaller share while it warms up.
    return candidate.slotsInUse() + (candidate.warm() ? 0 : 1);
  }
}
