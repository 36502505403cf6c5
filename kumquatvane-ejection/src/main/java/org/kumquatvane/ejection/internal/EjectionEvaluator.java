package org.kumquatvane.ejection.internal;

import java.time.Duration;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.ejection.InstanceEvidence;

/**
 * Decides whether the evidence on one instance suffices to eject it.
 *
 * @param thresholds thresholds of the service's profile
 * @param baseline normal failure rate and latency of the service
 * @param pathFaults VMs with a faulty network path
 * @param clock clock of the deadlines
 * @param commonFailures outcomes that the instances have in common, by the counts of all VMs
 * @param isOnlySuspect whether this VM suspects no other instance of the service
 */
record EjectionEvaluator(
    Thresholds thresholds,
    Baseline baseline,
    PathFaultDetector pathFaults,
    Clock clock,
    Supplier<EvidenceSum> commonFailures,
    boolean isOnlySuspect) {
  /**
   * Time for other VMs to contradict when this VM suspects several instances at once, which may be
   * caused by its own network path.
   */
  private static final Duration CONTRADICTION_WINDOW = Duration.ofSeconds(5);

  private static final double MINIMUM_RECENT_WEIGHT = 0.5;

  /** Share of the usual certainty that suffices to eject an instance on probation. */
  private static final double PROBATION_CERTAINTY_SHARE = 0.6;

  /** Maximum probability that an instance with an unchanged failure rate passes all trials. */
  private static final double MAXIMUM_PASS_PROBABILITY = 0.1;

  private static final int MAXIMUM_TRIALS = 10;

  /** Evaluates the instance; certainty 0 means no ejection. */
  Decision evaluate(InstanceEvidence.Counts own, InstanceEjectionState entry) {
    if (baseline.instancesWithOutcomes() < Baseline.MINIMUM_INSTANCES) {
      return new Decision(0, 1, thresholds.minimumTrials());
    }
    double share = entry.isOnProbation(clock) ? PROBATION_CERTAINTY_SHARE : 1;
    EvidenceSum shared = new EvidenceSum();
    int failureObservers = 0;
    int slownessObservers = 0;
    if (!pathFaults.isSelfDiscounted()) {
      shared.add(own);
      failureObservers += showsRecentFailure(own) ? 1 : 0;
      slownessObservers += showsSlowness(own) ? 1 : 0;
    }
    for (var report : entry.reports().entrySet()) {
      if (!pathFaults.isDiscounted(report.getKey())) {
        InstanceEvidence.Counts counts = report.getValue().counts();
        shared.add(counts);
        failureObservers += showsRecentFailure(counts) ? 1 : 0;
        slownessObservers += showsSlowness(counts) ? 1 : 0;
      }
    }
    double failing = 0;
    double slow = 0;
    if (failureObservers >= thresholds.requiredObservers()) {
      failing = failureCertainty(shared, share * thresholds.sharedCertainty());
    }
    if (slownessObservers >= thresholds.requiredObservers()) {
      slow = slownessCertainty(shared, share * thresholds.sharedCertainty());
    }
    if (mayDecideAlone(entry)) {
      EvidenceSum alone = new EvidenceSum();
      alone.add(own);
      failing = Math.max(failing, failureCertainty(alone, share * thresholds.ownCertainty()));
      slow = Math.max(slow, slownessCertainty(alone, share * thresholds.ownCertainty()));
    }
    int needed =
        failing > 0 ? thresholds.failureConfirmations() : thresholds.slownessConfirmations();
    return new Decision(
        Math.max(failing, slow),
        needed,
        requiredTrials(Math.max(shared.failureRate(), rateOf(own))));
  }

  private static double rateOf(InstanceEvidence.Counts counts) {
    return counts.attempts() > 0 ? counts.failures() / counts.attempts() : 0;
  }

  /**
   * Returns the number of trials for a failure rate; an instance that fails one request in five
   * passes three trials half of the time.
   */
  private int requiredTrials(double failureRate) {
    if (failureRate < thresholds.minimumFailureRate() || failureRate >= 1) {
      return thresholds.minimumTrials();
    }
    double needed = Math.ceil(Math.log(MAXIMUM_PASS_PROBABILITY) / Math.log(1 - failureRate));
    return (int) Math.max(thresholds.minimumTrials(), Math.min(MAXIMUM_TRIALS, needed));
  }

  private boolean mayDecideAlone(InstanceEjectionState entry) {
    if (pathFaults.isSelfDiscounted()) {
      return false;
    }
    @Nullable Deadline since = entry.suspectedSince;
    return isOnlySuspect
        || (since != null
            && new Deadline(since.nanos() + CONTRADICTION_WINDOW.toNanos()).isReached(clock));
  }

  /** Returns the certainty of a failure, or 0 if it is below the needed one. */
  private double failureCertainty(EvidenceSum sum, double needed) {
    double certainty = Certainty.ofFailures(sum.attempts(), sum.failures(), baseline.failureRate());
    if (sum.failureRate() < thresholds.minimumFailureRate() || certainty < needed) {
      return 0;
    }
    certainty = Math.min(certainty, Certainty.ofMoreFailures(sum, commonFailures.get()));
    return certainty >= needed ? certainty : 0;
  }

  private double slownessCertainty(EvidenceSum sum, double needed) {
    double certainty =
        Certainty.ofSlowness(sum.latencySamples(), sum.deviation(), baseline.variance());
    return sum.deviation() >= Math.log(thresholds.minimumLatencyRatio()) && certainty >= needed
        ? certainty
        : 0;
  }

  private static boolean showsRecentFailure(InstanceEvidence.Counts counts) {
    return counts.failures() >= MINIMUM_RECENT_WEIGHT;
  }

  private boolean showsSlowness(InstanceEvidence.Counts counts) {
    return counts.latencySamples() >= MINIMUM_RECENT_WEIGHT
        && counts.latencyDeviation() >= Math.log(thresholds.minimumLatencyRatio()) / 2;
  }

  /**
   * Result of an evaluation.
   *
   * @param certainty certainty of the ejection, or 0 for no ejection
   * @param requiredConfirmations consecutive evaluations that must agree
   * @param requiredTrials successful trials that end the ejection
   */
  record Decision(double certainty, int requiredConfirmations, int requiredTrials) {
    Decision withCertainty(double other) {
      return new Decision(other, 1, requiredTrials);
    }
  }
}
