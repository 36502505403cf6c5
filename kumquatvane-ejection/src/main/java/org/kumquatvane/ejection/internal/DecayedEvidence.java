package org.kumquatvane.ejection.internal;

import org.kumquatvane.ejection.Observation;

/** Outcomes of attempts at one instance, each weighted by an exponential decay of its age. */
final class DecayedEvidence {
  private final double outcomeNanos;
  private final double latencyNanos;
  private long updatedNanos;
  private double attempts;
  private double failures;
  private double samples;
  private double logSum;
  private double logSquareSum;

  DecayedEvidence(Thresholds thresholds, long nowNanos) {
    outcomeNanos = thresholds.outcomeTime().toNanos();
    latencyNanos = thresholds.latencyTime().toNanos();
    updatedNanos = nowNanos;
  }

  /** Adds an observation that is evidence; shed and cancelled attempts must not come here. */
  void add(Observation observation, long nowNanos) {
    decay(nowNanos);
    attempts++;
    if (observation.kind() != Observation.Kind.SUCCESS) {
      failures++;
      return;
    }
    double log = logOf(observation);
    samples++;
    logSum += log;
    logSquareSum += log * log;
  }

  /** Returns the natural logarithm of a latency in microseconds, at least 0. */
  static double logOf(Observation observation) {
    return Math.log(Math.max(1, observation.latency().toNanos() / 1_000.0));
  }

  void decay(long nowNanos) {
    double outcomeFactor = Math.exp((updatedNanos - nowNanos) / outcomeNanos);
    double latencyFactor = Math.exp((updatedNanos - nowNanos) / latencyNanos);
    updatedNanos = nowNanos;
    attempts *= outcomeFactor;
    failures *= outcomeFactor;
    samples *= latencyFactor;
    logSum *= latencyFactor;
    logSquareSum *= latencyFactor;
  }

  void clear() {
    attempts = 0;
    failures = 0;
    samples = 0;
    logSum = 0;
    logSquareSum = 0;
  }

  double attempts() {
    return attempts;
  }

  double failures() {
    return failures;
  }

  double failureRate() {
    return attempts > 0 ? failures / attempts : 0;
  }

  double samples() {
    return samples;
  }

  double meanLog() {
    return samples > 0 ? logSum / samples : 0;
  }

  /** Returns the sum of the squared differences from the mean. */
  double squaredDifferences() {
    return samples > 0 ? Math.max(0, logSquareSum - logSum * logSum / samples) : 0;
  }
}
