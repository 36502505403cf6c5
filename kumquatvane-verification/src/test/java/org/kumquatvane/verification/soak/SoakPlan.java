package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.Arrays;
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

  /** Without the return of the store, so that seeds that once failed keep their plans. */
  private static final List<Disturbance.Kind> KINDS =
      Arrays.stream(Disturbance.Kind.values())
          .filter(kind -> kind != Disturbance.Kind.STORE_RETURNS)
          .toList();

  /** What goes on in a drill in which the store returns from copies. */
  private static final List<Disturbance.Kind> DRILL_KINDS =
      List.of(
          Disturbance.Kind.KEY_WITHDRAWN,
          Disturbance.Kind.ROUTE_REMOVED,
          Disturbance.Kind.INSTANCE_DRAINS,
          Disturbance.Kind.STOP,
          Disturbance.Kind.KILL,
          Disturbance.Kind.RELOAD);

  /** Parts of the run at which the store returns; the second return may overlap the first. */
  private static final double[] RETURNS = {0.3, 0.55};

  /** Probability that a disturbance has the same kind as the previous one, so that series occur. */
  private static final double REPEAT_PROBABILITY = 0.35;

  static SoakPlan generate(long seed, int vms, int instances, int seconds) {
    return new SoakPlan(
        seed, vms, instances, seconds, disturbances(seed, vms, instances, seconds, KINDS));
  }

  /** Generates a drill: planned changes and restarts all along, and two returns of the store. */
  static SoakPlan generateDrill(long seed, int vms, int instances, int seconds) {
    List<Disturbance> disturbances =
        new ArrayList<>(disturbances(seed, vms, instances, seconds, DRILL_KINDS));
    Random random = new Random(~seed);
    for (double part : RETURNS) {
      long ageMillis =
          MINIMUM_DURATION_MILLIS
              + random.nextInt((int) (MAXIMUM_DURATION_MILLIS - MINIMUM_DURATION_MILLIS));
      disturbances.add(
          new Disturbance(
              (long) (part * seconds * 1_000), Disturbance.Kind.STORE_RETURNS, 0, ageMillis));
    }
    disturbances.sort(Comparator.comparingLong(Disturbance::startMillis));
    return new SoakPlan(seed, vms, instances, seconds, List.copyOf(disturbances));
  }

  private static List<Disturbance> disturbances(
      long seed, int vms, int instances, int seconds, List<Disturbance.Kind> kinds) {
    Random random = new Random(seed);
    List<Disturbance> disturbances = new ArrayList<>();
    Disturbance.Kind kind = Disturbance.Kind.RELOAD;
    long startMillis = WARM_UP_MILLIS;
    while (startMillis < seconds * 1_000L) {
      if (random.nextDouble() >= REPEAT_PROBABILITY) {
        kind = kinds.get(random.nextInt(kinds.size()));
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
    return List.copyOf(disturbances);
  }
}
