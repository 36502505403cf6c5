package org.kumquatvane.selection;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Power-of-two-choices selection: the instance with fewer slots in use by this VM out of two random
 * ones. On equal load, an instance in this VM's failure domain is preferred with a given
 * probability.
 *
 * <p>A selection examines only a few instances, whatever the size of the service.
 */
public final class TwoChoicesSelection implements SelectionPolicy {
  /**
   * Random draws before a scan; with half of the instances selectable, one selection in 256 needs a
   * scan.
   */
  private static final int MAXIMUM_DRAWS = 8;

  private final UniformRandomProvider random;
  private final double localPreference;

  /**
   * Creates the policy without a preference for the own failure domain.
   *
   * @param random seeded source of the choices, used under the pool's lock only
   */
  public TwoChoicesSelection(UniformRandomProvider random) {
    this(random, 0);
  }

  /**
   * Creates the policy.
   *
   * @param random seeded source of the choices, used under the pool's lock only
   * @param localPreference probability that a local instance is preferred on equal load, 0 to 1
   */
  public TwoChoicesSelection(UniformRandomProvider random, double localPreference) {
    this.random = random;
    this.localPreference = localPreference;
  }

  @Override
  public int choose(Candidates candidates) {
    int first = draw(candidates, NONE);
    if (first == NONE) {
      return firstSelectable(candidates);
    }
    int second = draw(candidates, first);
    if (second == NONE) {
      return first;
    }
    int difference = candidates.slotsInUse(second) - candidates.slotsInUse(first);
    if (difference != 0) {
      return difference < 0 ? second : first;
    }
    boolean prefersSecond = candidates.isLocal(second) && !candidates.isLocal(first);
    return prefersSecond && random.nextDouble() < localPreference ? second : first;
  }

  /**
   * Draws a selectable instance, or none after {@link #MAXIMUM_DRAWS} draws; one that is warming up
   * is drawn less often.
   */
  private int draw(Candidates candidates, int other) {
    int size = candidates.size();
    for (int draw = 0; draw < MAXIMUM_DRAWS && size > 0; draw++) {
      int index = random.nextInt(size);
      if (index != other && candidates.isSelectable(index)) {
        double share = candidates.warmUpShare(index);
        if (share >= 1 || random.nextDouble() < share) {
          return index;
        }
      }
    }
    return NONE;
  }

  private int firstSelectable(Candidates candidates) {
    int size = candidates.size();
    int start = size == 0 ? 0 : random.nextInt(size);
    for (int i = 0; i < size; i++) {
      int index = (start + i) % size;
      if (candidates.isSelectable(index)) {
        return index;
      }
    }
    return NONE;
  }
}
