package org.kumquatvane.selection.internal;

import org.kumquatvane.core.Clock;

/**
 * Probability that an instance or a network path is in a failure period, updated by Bayes' rule
 * with the outcomes of attempts.
 *
 * <p>Failure periods begin and end on their own, so without new evidence the probability decays
 * exponentially to the prior. Guarded by the pool's lock.
 */
final class FailureEstimate {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Bounds of the probability, so that a long history does not delay the reaction to new evidence.
   */
  private static final double MINIMUM_PROBABILITY = 0.002;

  private static final double MAXIMUM_PROBABILITY = 0.995;

  private final double prior;
  private final double decaySeconds;
  private double probability;
  private long updatedNanos;

  /**
   * Creates an estimate without evidence.
   *
   * @param prior probability without evidence
   * @param decaySeconds time constant of the decay: old evidence loses about two thirds of its
   *     weight within it
   * @param nowNanos monotonic time
   */
  FailureEstimate(double prior, double decaySeconds, long nowNanos) {
    this.prior = prior;
    this.decaySeconds = decaySeconds;
    probability = prior;
    updatedNanos = nowNanos;
  }

  /** Returns the current probability. */
  double probability(Clock clock) {
    double seconds = Math.max(0, clock.monotonicNanos() - updatedNanos) / NANOS_PER_SECOND;
    return prior + (probability - prior) * Math.exp(-seconds / decaySeconds);
  }

  /**
   * Updates the probability with new evidence.
   *
   * @param likelihoodRatio how many times more likely the evidence is during a failure period than
   *     outside one
   */
  void update(double likelihoodRatio, Clock clock) {
    probability =
        Math.min(
            MAXIMUM_PROBABILITY,
            Math.max(MINIMUM_PROBABILITY, posterior(probability(clock), likelihoodRatio)));
    updatedNanos = clock.monotonicNanos();
  }

  /** Returns the posterior probability after evidence with the given likelihood ratio. */
  static double posterior(double probability, double likelihoodRatio) {
    double odds = probability / (1 - probability) * likelihoodRatio;
    return odds / (1 + odds);
  }
}
