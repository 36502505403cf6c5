package org.kumquatvane.ejection.internal;

import java.util.Arrays;
import java.util.Collection;

/**
 * What this VM sees on the instances of one service as a whole. Medians, so that a minority of bad
 * instances does not move it and a service that is bad as a whole has no outliers.
 *
 * @param instancesWithOutcomes instances with evidence
 * @param failureRate share of failed attempts that is normal for the service at present
 * @param instancesWithLatency instances with latency samples
 * @param medianLogLatency median of the instances' mean logarithm of latency
 * @param variance variance of the logarithm within an instance
 */
record Baseline(
    int instancesWithOutcomes,
    double failureRate,
    int instancesWithLatency,
    double medianLogLatency,
    double variance) {
  static final Baseline EMPTY = new Baseline(0, 0, 0, 0, 1);

  /** Fewer instances than this say nothing about which one is the exception. */
  static final int MINIMUM_INSTANCES = 3;

  /**
   * A standard deviation of 0.3; steadier latencies would make harmless differences significant.
   */
  private static final double MINIMUM_VARIANCE = 0.09;

  /** A peer rate that is estimated from few attempts may be too low by this factor. */
  private static final double PEER_RATE_MARGIN = 1.5;

  /** Above this share a second bad instance could hide the first one. */
  private static final double MAXIMUM_COMMON_FAILURE_RATE = 0.1;

  /** Variance assumed until there are enough samples to estimate it. */
  private static final double ASSUMED_VARIANCE = 1;

  private static final double MINIMUM_WEIGHT = 0.3;

  static Baseline of(Collection<DecayedEvidence> evidence) {
    double[] rates =
        evidence.stream()
            .filter(entry -> entry.attempts() >= MINIMUM_WEIGHT)
            .mapToDouble(DecayedEvidence::failureRate)
            .toArray();
    double[] logs =
        evidence.stream()
            .filter(entry -> entry.latencySamples() >= MINIMUM_WEIGHT)
            .mapToDouble(DecayedEvidence::meanLogLatency)
            .toArray();
    double squares = 0;
    double degreesOfFreedom = 0;
    for (DecayedEvidence entry : evidence) {
      squares += entry.squaredDifferences();
      degreesOfFreedom += Math.max(0, entry.latencySamples() - 1);
    }
    // The assumed variance counts as two samples, so that it fades as real ones come in.
    double variance = (squares + 2 * ASSUMED_VARIANCE) / (degreesOfFreedom + 2);
    return new Baseline(
        rates.length,
        Math.max(PEER_RATE_MARGIN * median(rates), commonFailureRate(evidence)),
        logs.length,
        median(logs),
        Math.max(MINIMUM_VARIANCE, variance));
  }

  /**
   * Returns the mean share of failed attempts, without the instance that has most, up to a bound:
   * with few attempts for each instance the median is 0 although all fail now and then.
   */
  private static double commonFailureRate(Collection<DecayedEvidence> evidence) {
    double attempts = 0;
    double failures = 0;
    double worstAttempts = 0;
    double worstFailures = 0;
    for (DecayedEvidence entry : evidence) {
      attempts += entry.attempts();
      failures += entry.failures();
      if (entry.failures() > worstFailures) {
        worstFailures = entry.failures();
        worstAttempts = entry.attempts();
      }
    }
    double others = attempts - worstAttempts;
    return others < 1
        ? 0
        : Math.min(MAXIMUM_COMMON_FAILURE_RATE, (failures - worstFailures) / others);
  }

  private static double median(double[] values) {
    if (values.length == 0) {
      return 0;
    }
    Arrays.sort(values);
    return values[(values.length - 1) / 2];
  }
}
