package org.kumquatvane.selection.internal;

import org.kumquatvane.core.Clock;

/**
 * Probability that something is in a failing spell, by Bayes' rule over the outcomes of attempts.
 *
 * <p>Spells begin and end by themselves, so without evidence the probability returns to that of an
 * instance about which nothing is known. Guarded by the pool's lock.
 */
final class Suspicion {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Evidence beyond this adds nothing, so that a long history does not delay a change of mind. */
  private static final double SMALLEST = 0.002;

  private static final double LARGEST = 0.995;

  private final double unknown;
  private final double memorySeconds;
  private double probability;
  private long updatedNanos;

  /**
   * Creates a suspicion without evidence.
   *
   * @param unknown probability without evidence
   * @param memorySeconds time within which old evidence loses two thirds of its weight
   * @param nowNanos monotonic time
   */
  Suspicion(double unknown, double memorySeconds, long nowNanos) {
    this.unknown = unknown;
    this.memorySeconds = memorySeconds;
    probability = unknown;
    updatedNanos = nowNanos;
  }

  /** Returns the probability at this moment. */
  double probability(Clock clock) {
    double seconds = Math.max(0, clock.monotonicNanos() - updatedNanos) / NANOS_PER_SECOND;
    return unknown + (probability - unknown) * Math.exp(-seconds / memorySeconds);
  }

  /**
   * Takes evidence into account.
   *
   * @param ratio how many times more likely the evidence is in a failing spell than outside one
   */
  void update(double ratio, Clock clock) {
    probability = Math.min(LARGEST, Math.max(SMALLEST, weigh(probability(clock), ratio)));
    updatedNanos = clock.monotonicNanos();
  }

  /** Returns a probability after evidence of the given likelihood ratio. */
  static double weigh(double probability, double ratio) {
    double odds = probability / (1 - probability) * ratio;
    return odds / (1 + odds);
  }
}
