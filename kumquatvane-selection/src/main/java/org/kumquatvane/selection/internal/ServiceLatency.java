package org.kumquatvane.selection.internal;

/**
 * Approximately log-normal model of a service's response latency, kept as mean and variance of the
 * logarithm, since latencies are skewed. Guarded by the pool's lock.
 */
final class ServiceLatency {
  /** Weight of a new sample: the model adapts to a change within about fifty responses. */
  private static final double SAMPLE_WEIGHT = 0.04;

  /** Initial values before the first response: 150 ms, with a deviation of a factor of two. */
  private static final double INITIAL_MEAN = Math.log(150);

  private static final double INITIAL_VARIANCE = 0.5;

  /**
   * Samples are capped at this many deviations above the mean, so that slow instances do not
   * distort the model.
   */
  private static final double MAXIMUM_SAMPLE_DEVIATIONS = 2.5;

  private static final double MINIMUM_DEVIATION = 0.25;

  /** Scale at which the logistic function approximates the normal distribution. */
  private static final double LOGISTIC_SCALE = 1.702;

  /** Share of responses of healthy instances that are much slower than the rest. */
  private static final double TAIL_SHARE = 0.02;

  private double mean = INITIAL_MEAN;
  private double variance = INITIAL_VARIANCE;

  /** Adds the latency of a response. */
  void add(double millis) {
    double log = Math.log(Math.max(1, millis));
    double difference = Math.min(log - mean, MAXIMUM_SAMPLE_DEVIATIONS * deviation());
    mean += SAMPLE_WEIGHT * difference;
    variance += SAMPLE_WEIGHT * (difference * difference - variance);
  }

  private double deviation() {
    return Math.max(MINIMUM_DEVIATION, Math.sqrt(variance));
  }

  /** Returns by how many deviations a latency exceeds the mean. */
  double deviations(double millis) {
    return (Math.log(Math.max(1, millis)) - mean) / deviation();
  }

  /** Returns the probability that a response of a healthy instance takes longer. */
  double survival(double millis) {
    double normal = 1 / (1 + Math.exp(LOGISTIC_SCALE * deviations(millis)));
    return TAIL_SHARE + (1 - TAIL_SHARE) * normal;
  }
}
