package org.kumquatvane.ejection.internal;

import org.kumquatvane.ejection.AttemptOutcome;

/** Outcomes of attempts at one instance, weighted by exponential decay with age. */
final class DecayedEvidence {
  private final double outcomeTimeConstantNanos;
  private final double latencyTimeConstantNanos;
  private long updatedNanos;
  private double attempts;
  private double failures;
  private double latencySamples;
  private double logLatencySum;
  private double logLatencySquareSum;

  DecayedEvidence(Thresholds thresholds, long nowNanos) {
    outcomeTimeConstantNanos = thresholds.outcomeTimeConstant().toNanos();
    latencyTimeConstantNanos = thresholds.latencyTimeConstant().toNanos();
    updatedNanos = nowNanos;
  }

  /**
   * Adds an outcome that counts as evidence; must not be called for shed and cancelled attempts.
   */
  void add(AttemptOutcome outcome, long nowNanos) {
    decay(nowNanos);
    attempts++;
    if (outcome.kind() != AttemptOutcome.Kind.SUCCESS) {
      failures++;
      return;
    }
    double logLatency = logLatency(outcome);
    latencySamples++;
    logLatencySum += logLatency;
    logLatencySquareSum += logLatency * logLatency;
  }

  /** Returns the natural logarithm of a latency in microseconds, at least 0. */
  static double logLatency(AttemptOutcome outcome) {
    return Math.log(Math.max(1, outcome.latency().toNanos() / 1_000.0));
  }

  void decay(long nowNanos) {
    double outcomeFactor = Math.exp((updatedNanos - nowNanos) / outcomeTimeConstantNanos);
    double latencyFactor = Math.exp((updatedNanos - nowNanos) / latencyTimeConstantNanos);
    updatedNanos = nowNanos;
    attempts *= outcomeFactor;
    failures *= outcomeFactor;
    latencySamples *= latencyFactor;
    logLatencySum *= latencyFactor;
    logLatencySquareSum *= latencyFactor;
  }

  void clear() {
    attempts = 0;
    failures = 0;
    latencySamples = 0;
    logLatencySum = 0;
    logLatencySquareSum = 0;
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

  double latencySamples() {
    return latencySamples;
  }

  double meanLogLatency() {
    return latencySamples > 0 ? logLatencySum / latencySamples : 0;
  }

  /** Returns the sum of squared differences from the mean. */
  double squaredDifferences() {
    return latencySamples > 0
        ? Math.max(0, logLatencySquareSum - logLatencySum * logLatencySum / latencySamples)
        : 0;
  }
}
