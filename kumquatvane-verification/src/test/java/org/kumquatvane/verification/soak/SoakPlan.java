package org.kumquatvane.verification.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * A run, drawn from a seed: the same seed and sizes give the same run.
 *
 * @param seed the seed
 * @param vms number of entry VMs
 * @param instances number of instances
 * @param seconds length of the traffic with disturbances
 * @param disturbances in the order of their start; they come in series and overlap
 */
record SoakPlan(long seed, int vms, int instances, int seconds, List<Disturbance> disturbances) {
  /** Time without disturbances at the start, so that the processes are warm. */
  private static final long CALM_START_MILLIS = 2_000;

  /** Mean time between two disturbances. */
  private static final long MEAN_GAP_MILLIS = 700;

  private static final long SHORTEST_MILLIS = 300;
  private static final long LONGEST_MILLIS = 5_000;

  private static final List<Disturbance.Kind> KINDS = List.of(Disturbance.Kind.values());

  /** Part of the disturbances that repeat the one before at another place, in a series. */
  private static final double SERIES_SHARE = 0.35;

  static SoakPlan draw(long seed, int vms, int instances, int seconds) {
    Random random = new Random(seed);
    List<Disturbance> drawn = new ArrayList<>();
    Disturbance.Kind kind = Disturbance.Kind.RELOAD;
    long at = CALM_START_MILLIS;
    while (at < seconds * 1_000L) {
      if (random.nextDouble() >= SERIES_SHARE) {
        kind = KINDS.get(random.nextInt(KINDS.size()));
      }
      int places = kind.place() == Disturbance.Place.INSTANCE ? instances : vms;
      long length =
          SHORTEST_MILLIS + (long) (random.nextDouble() * (LONGEST_MILLIS - SHORTEST_MILLIS));
      drawn.add(new Disturbance(at, kind, random.nextInt(places), length));
      at += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
    }
    drawn.sort(Comparator.comparingLong(Disturbance::atMillis));
    return new SoakPlan(seed, vms, instances, seconds, List.copyOf(drawn));
  }
}
