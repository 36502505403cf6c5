package org.kumquatvane.selection.internal;

import org.kumquatvane.core.Clock;

/**
 * Probability that something is in a failing spell, by Bayes' rule over the outcomes of attempts.
 *
 * <p>Spells begin and end by themselves, so without evidence the probability returns to that of an
 * instance about which nothing is known. Guarded by the pool's lock.
 */
final class FailureEstimate {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * LikelihoodRatios beyond this adds nothing, so that a long history does not delay a change of
   * mind.
   */
  private static final double MINIMUM_PROBABILITY = 0.002;

  private static final double MAXIMUM_PROBABILITY = 0.995;

  private final double prior;
  private final double decaySeconds;
  private double probability;
  private long updatedNanos;

  /**
   * Creates a suspicion without evidence.
   *
   * @param prior probability without evidence
   * @param decaySeconds time within which old evidence loses two thirds of its weight
   * @param nowNanos monotonic time
   */
  FailureEstimate(double prior, double decaySeconds, long nowNanos) {
    this.prior = prior;
    this.decaySeconds = decaySeconds;
    probability = prior;
    updatedNanos = nowNanos;
  }

  /** Returns the probability at this moment. */
  double probability(Clock clock) {
    double seconds = Math.max(0, clock.monotonicNanos() - updatedNanos) / NANOS_PER_SECOND;
    return prior + (probability - prior) * Math.exp(-seconds / decaySeconds);
  }

  /**
   * Takes evidence into account.
   *
   * @param likelihoodRatio how many times more likely the evidence is in a failing spell than
   *     outside one
   */
  void update(double likelihoodRatio, Clock clock) {
    probability =
        Math.min(
            MAXIMUM_PROBABILITY,
            Math.max(MINIMUM_PROBABILITY, posterior(probability(clock), likelihoodRatio)));
    updatedNanos = clock.monotonicNanos();
  }

  /** Returns a probability after evidence of the given likelihood likelihoodRatio. */
  static double posterior(double probability, double likelihoodRatio) {
    double odds = probability / (1 - probability) * likelihoodRatio;
    return odds / (1 + odds);
  }
}
