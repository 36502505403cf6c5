package org.kumquatvane.ejection.internal;

/** Computes the strength of evidence in nats. */
final class Certainty {
  /** Share of failures that is considered normal even if the other instances have fewer. */
  private static final double NORMAL_FAILURE_RATE = 0.02;

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
    double entropy = rate * Math.log(rate / expected);
    if (rate < 1) {
      entropy += (1 - rate) * Math.log((1 - rate) / (1 - expected));
    }
    return attempts * entropy;
  }

  /** Chernoff bound on the normal tail of the mean deviation. */
  static double ofSlowness(double samples, double deviation, double variance) {
    return deviation <= 0
        ? 0
        : INDEPENDENT_SHARE * samples * deviation * deviation / (2 * variance);
  }
}
