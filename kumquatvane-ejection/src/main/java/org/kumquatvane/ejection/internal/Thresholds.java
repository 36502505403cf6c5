package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.kumquatvane.document.EjectionProfile;

/**
 * Thresholds of evidence for an ejection. Certainty is the negative natural logarithm (nats) of the
 * Chernoff bound on the probability that a healthy instance shows such evidence by chance.
 *
 * @param outcomeTimeConstant age at which the weight of an outcome is 1/e
 * @param latencyTimeConstant age at which the weight of a latency sample is 1/e; shorter, since old
 *     samples mask a change of the mean, while old successes mask few new failures
 * @param sharedCertainty certainty required when several VMs observed the fault
 * @param ownCertainty certainty required when only this VM observed the fault
 * @param requiredObservers number of VMs that must have observed the fault for shared evidence to
 *     count
 * @param minimumFailureRate smallest share of failed attempts that leads to an ejection
 * @param minimumLatencyRatio smallest ratio to the median latency of the instances that leads to an
 *     ejection
 * @param failureConfirmations number of consecutive evaluations that must agree on failures
 * @param slownessConfirmations number of consecutive evaluations that must agree on slowness; a
 *     short queue at a healthy instance correlates the latencies within a second
 * @param minimumTrials smallest number of consecutive successful trial requests that end an
 *     ejection
 */
record Thresholds(
    Duration outcomeTimeConstant,
    Duration latencyTimeConstant,
    double sharedCertainty,
    double ownCertainty,
    int requiredObservers,
    double minimumFailureRate,
    double minimumLatencyRatio,
    int failureConfirmations,
    int slownessConfirmations,
    int minimumTrials) {
  private static final Thresholds FAST =
      new Thresholds(Duration.ofSeconds(8), Duration.ofSeconds(4), 10, 12, 2, 0.08, 1.8, 1, 3, 3);
  private static final Thresholds CAUTIOUS =
      new Thresholds(Duration.ofSeconds(15), Duration.ofSeconds(8), 18, 22, 3, 0.12, 2.0, 2, 4, 4);

  static Thresholds of(EjectionProfile profile) {
    return profile == EjectionProfile.FAST ? FAST : CAUTIOUS;
  }
}
