package org.kumquatvane.ejection.internal;

import java.util.Arrays;
import java.util.Collection;

/**
 * Normal failure rate and latency of a service, as observed by this VM. Based on medians, so that a
 * minority of faulty instances does not shift it and a service that is degraded as a whole has no
 * outliers.
 *
 * @param instancesWithOutcomes number of instances with outcomes
 * @param failureRate current normal share of failed attempts of the service
 * @param instancesWithLatency number of instances with latency samples
 * @param medianLogLatency median over the instances of their mean logarithm of latency
 * @param variance variance of the logarithm of latency within an instance
 */
record Baseline(
    int instancesWithOutcomes,
    double failureRate,
    int instancesWithLatency,
    double medianLogLatency,
    double variance) {
  static final Baseline EMPTY = new Baseline(0, 0, 0, 0, 1);

  /** Number of instances needed to identify an outlier. */
  static final int MINIMUM_INSTANCES = 3;

  /**
   * Corresponds to a standard deviation of 0.3; with a smaller variance, harmless differences would
   * be significant.
   */
  private static final double MINIMUM_VARIANCE = 0.09;

  /** Factor by which a median failure rate estimated from few attempts may be too low. */
  private static final double MEDIAN_RATE_MARGIN = 1.5;

  /**
   * Limit of the common failure rate, above which a second faulty instance could mask the first
   * one.
   */
  private static final double MAXIMUM_COMMON_FAILURE_RATE = 0.1;

  /** Prior variance, used until there are enough samples to estimate it. */
  private static final double PRIOR_VARIANCE = 1;

  private static final double MINIMUM_EVIDENCE_WEIGHT = 0.3;

  static Baseline of(Collection<DecayedEvidence> evidence) {
    double[] rates =
        evidence.stream()
            .filter(entry -> entry.attempts() >= MINIMUM_EVIDENCE_WEIGHT)
            .mapToDouble(DecayedEvidence::failureRate)
            .toArray();
    double[] logs =
        evidence.stream()
            .filter(entry -> entry.latencySamples() >= MINIMUM_EVIDENCE_WEIGHT)
            .mapToDouble(DecayedEvidence::meanLogLatency)
            .toArray();
    double squaredDifferences = 0;
    double degreesOfFreedom = 0;
    for (DecayedEvidence entry : evidence) {
      squaredDifferences += entry.squaredDifferences();
      degreesOfFreedom += Math.max(0, entry.latencySamples() - 1);
    }
    // The prior variance counts as two samples, so that its weight falls as samples are added.
    double variance = (squaredDifferences + 2 * PRIOR_VARIANCE) / (degreesOfFreedom + 2);
    return new Baseline(
        rates.length,
        Math.max(MEDIAN_RATE_MARGIN * median(rates), commonFailureRate(evidence)),
        logs.length,
        median(logs),
        Math.max(MINIMUM_VARIANCE, variance));
  }

  /**
   * Returns the mean share of failed attempts without the instance that has the most failures, up
   * to a limit. With few attempts per instance the median is 0 even if all instances fail
   * occasionally.
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
