package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The plan of a run, generated from a seed: the same seed and sizes give the same plan.
 *
 * @param seed the seed
 * @param vms number of entry VMs
 * @param instances number of instances
 * @param seconds length of the traffic with disturbances
 * @param disturbances in the order of their start; they come in series and overlap
 */
record SoakPlan(long seed, int vms, int instances, int seconds, List<Disturbance> disturbances) {
  /** Time without disturbances at the start, so that the processes can warm up. */
  private static final long WARM_UP_MILLIS = 2_000;

  /** Mean time between two disturbances. */
  private static final long MEAN_GAP_MILLIS = 700;

  private static final long MINIMUM_DURATION_MILLIS = 300;
  private static final long MAXIMUM_DURATION_MILLIS = 5_000;

  private static final List<Disturbance.Kind> KINDS = List.of(Disturbance.Kind.values());

  /** Probability that a disturbance has the same kind as the previous one, so that series occur. */
  private static final double REPEAT_PROBABILITY = 0.35;

  static SoakPlan generate(long seed, int vms, int instances, int seconds) {
    Random random = new Random(seed);
    List<Disturbance> disturbances = new ArrayList<>();
    Disturbance.Kind kind = Disturbance.Kind.RELOAD;
    long startMillis = WARM_UP_MILLIS;
    while (startMillis < seconds * 1_000L) {
      if (random.nextDouble() >= REPEAT_PROBABILITY) {
        kind = KINDS.get(random.nextInt(KINDS.size()));
      }
      int targetCount = kind.target() == Disturbance.Target.INSTANCE ? instances : vms;
      long durationMillis =
          MINIMUM_DURATION_MILLIS
              + (long) (random.nextDouble() * (MAXIMUM_DURATION_MILLIS - MINIMUM_DURATION_MILLIS));
      disturbances.add(
          new Disturbance(startMillis, kind, random.nextInt(targetCount), durationMillis));
      startMillis += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
    }
    disturbances.sort(Comparator.comparingLong(Disturbance::startMillis));
    return new SoakPlan(seed, vms, instances, seconds, List.copyOf(disturbances));
  }
}
