package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.kumquatvane.document.EjectionProfile;

/**
 * How strong evidence must be. Certainty is the Chernoff bound of the probability that a healthy
 * instance looks this bad by chance, as a negative natural logarithm (nats).
 *
 * @param outcomeTimeConstant age at which an outcome counts for 1/e
 * @param latencyTimeConstant age at which a latency counts for 1/e; shorter, since old latencies
 *     hide a change of the mean, while old successes hide few new failures
 * @param sharedCertainty certainty that ejects when several VMs saw it
 * @param ownCertainty certainty that ejects when this VM alone saw it
 * @param requiredObservers VMs that must have seen it for shared evidence to count
 * @param minimumFailureRate smallest share of failed attempts that ejects
 * @param minimumLatencyRatio smallest ratio to the peers' median latency that ejects
 * @param failureConfirmations consecutive evaluations that must agree about failures
 * @param slownessConfirmations the same about slowness; a short queue at a good instance makes the
 *     latencies of a second look alike
 * @param minimumTrials fewest good trial requests in a row that end an ejection
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
