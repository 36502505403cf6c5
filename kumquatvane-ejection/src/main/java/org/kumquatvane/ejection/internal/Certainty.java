package org.kumquatvane.ejection.internal;

/** Computes the strength of evidence in nats. */
final class Certainty {
  /** Share of failures that is considered normal even if the other instances have fewer. */
  private static final double NORMAL_FAILURE_RATE = 0.02;

  /** Attempts that the assumption of the normal failure rate counts for. */
  private static final double PRIOR_ATTEMPTS = 50;

  private static final double MAXIMUM_COMPARABLE_FAILURE_RATE = 0.9;

  /**
   * Latencies of one instance are correlated, since requests wait in the same queue; each sample
   * counts as this fraction of an independent one.
   */
  private static final double INDEPENDENT_SHARE = 0.5;

  private Certainty() {}

  /** Chernoff bound on the binomial tail: attempts times the relative entropy of the rates. */
  static double ofFailures(double attempts, double failures, double normalRate) {
    double expected = Math.max(NORMAL_FAILURE_RATE, normalRate);
    if (attempts <= 0 || expected > MAXIMUM_COMPARABLE_FAILURE_RATE) {
      return 0;
    }
    double rate = Math.min(1, failures / attempts);
    if (rate <= expected) {
      return 0;
    }
    return attempts * relativeEntropy(rate, expected);
  }

  /**
   * Compares the failure rate of an instance with that of the others by a likelihood ratio, which
   * accounts for the small number of attempts at the others.
   */
  static double ofMoreFailures(EvidenceSum instance, EvidenceSum others) {
    double otherAttempts = others.attempts() + PRIOR_ATTEMPTS;
    double otherFailures = others.failures() + NORMAL_FAILURE_RATE * PRIOR_ATTEMPTS;
    double commonRate =
        (instance.failures() + otherFailures) / (instance.attempts() + otherAttempts);
    if (instance.failureRate() <= commonRate) {
      return 0;
    }
    return instance.attempts() * relativeEntropy(instance.failureRate(), commonRate)
        + otherAttempts * relativeEntropy(otherFailures / otherAttempts, commonRate);
  }

  private static double relativeEntropy(double rate, double expected) {
    double entropy = rate > 0 ? rate * Math.log(rate / expected) : 0;
    return rate < 1 ? entropy + (1 - rate) * Math.log((1 - rate) / (1 - expected)) : entropy;
  }

  /** Chernoff bound on the normal tail of the mean deviation. */
  static double ofSlowness(double samples, double deviation, double variance) {
    return deviation <= 0
        ? 0
        : INDEPENDENT_SHARE * samples * deviation * deviation / (2 * variance);
  }
}
