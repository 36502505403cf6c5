package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.kumquatvane.document.EjectionProfile;

/**
 * How strong evidence must be. Certainty is the Chernoff bound of the probability that a healthy
 * instance looks this bad by chance, as a negative natural logarithm (nats).
 *
 * @param timeConstant age at which an observation counts for 1/e
 * @param sharedCertainty certainty that ejects when several VMs saw it
 * @param ownCertainty certainty that ejects when this VM alone saw it
 * @param witnesses VMs that must have seen it for shared evidence to count
 * @param failureRate smallest share of failed attempts that ejects
 * @param slowness smallest ratio to the peers' median latency that ejects
 * @param confirmations consecutive evaluations that must agree
 * @param trials fewest good trial requests in a row that end an ejection
 */
record Thresholds(
    Duration timeConstant,
    double sharedCertainty,
    double ownCertainty,
    int witnesses,
    double failureRate,
    double slowness,
    int confirmations,
    int trials) {
  private static final Thresholds FAST =
      new Thresholds(Duration.ofSeconds(8), 10, 12, 2, 0.08, 1.8, 1, 3);
  private static final Thresholds CAUTIOUS =
      new Thresholds(Duration.ofSeconds(15), 18, 22, 3, 0.12, 2.0, 2, 4);

  static Thresholds of(EjectionProfile profile) {
    return profile == EjectionProfile.FAST ? FAST : CAUTIOUS;
  }
}
