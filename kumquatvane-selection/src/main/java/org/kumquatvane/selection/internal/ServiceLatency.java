package org.kumquatvane.selection.internal;

/**
 * Latency of a service's answers, kept as mean and deviation of its logarithm, since latencies are
 * skewed. Guarded by the pool's lock.
 */
final class ServiceLatency {
  /** Weight of a new sample: the model follows a change within about fifty answers. */
  private static final double SAMPLE_WEIGHT = 0.04;

  /** Start values for a service that has not answered yet: 150 ms, spread over a factor of two. */
  private static final double INITIAL_MEAN = Math.log(150);

  private static final double INITIAL_VARIANCE = 0.5;

  /** Deviations that a sample may lie above the mean; slow instances must not move the model. */
  private static final double MAXIMUM_SAMPLE_DEVIATIONS = 2.5;

  private static final double MINIMUM_DEVIATION = 0.25;

  /** Steepness with which the logistic function approximates the normal distribution. */
  private static final double LOGISTIC_SCALE = 1.702;

  /** Share of answers that take far longer than the others without any fault. */
  private static final double TAIL_SHARE = 0.02;

  private double mean = INITIAL_MEAN;
  private double variance = INITIAL_VARIANCE;

  /** Takes note of an answer. */
  void add(double millis) {
    double log = Math.log(Math.max(1, millis));
    double difference = Math.min(log - mean, MAXIMUM_SAMPLE_DEVIATIONS * deviation());
    mean += SAMPLE_WEIGHT * difference;
    variance += SAMPLE_WEIGHT * (difference * difference - variance);
  }

  private double deviation() {
    return Math.max(MINIMUM_DEVIATION, Math.sqrt(variance));
  }

  /** Returns how many deviations a latency lies above the mean. */
  double deviations(double millis) {
    return (Math.log(Math.max(1, millis)) - mean) / deviation();
  }

  /** Returns the probability that an answer of a sound instance takes longer. */
  double survival(double millis) {
    double normal = 1 / (1 + Math.exp(LOGISTIC_SCALE * deviations(millis)));
    return TAIL_SHARE + (1 - TAIL_SHARE) * normal;
  }
}
