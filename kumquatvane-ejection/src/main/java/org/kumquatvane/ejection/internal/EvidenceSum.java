package org.kumquatvane.ejection.internal;

import org.kumquatvane.ejection.InstanceEvidence;

/** Sum of the counts of several VMs on one instance. */
final class EvidenceSum {
  private double attempts;
  private double failures;
  private double latencySamples;
  private double deviationSum;

  void add(InstanceEvidence.Counts counts) {
    attempts += counts.attempts();
    failures += counts.failures();
    latencySamples += counts.latencySamples();
    deviationSum += counts.latencySamples() * counts.latencyDeviation();
  }

  /** Adds outcomes without latencies. */
  void add(double moreAttempts, double moreFailures) {
    attempts += moreAttempts;
    failures += moreFailures;
  }

  EvidenceSum without(InstanceEvidence.Counts counts) {
    EvidenceSum rest = new EvidenceSum();
    rest.attempts = attempts - counts.attempts();
    rest.failures = failures - counts.failures();
    rest.latencySamples = latencySamples - counts.latencySamples();
    rest.deviationSum = deviationSum - counts.latencySamples() * counts.latencyDeviation();
    return rest;
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

  double deviation() {
    return latencySamples > 0 ? deviationSum / latencySamples : 0;
  }
}
