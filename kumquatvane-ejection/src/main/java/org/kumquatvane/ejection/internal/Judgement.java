package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.ejection.InstanceEvidence;

/**
 * Decides whether the evidence on one instance is enough to eject it.
 *
 * @param thresholds thresholds of the service's profile
 * @param baseline what the instances of the service have in common
 * @param blame VMs with a bad path
 * @param clock clock of the deadlines
 * @param isOnlySuspect whether this VM suspects no other instance of the service
 */
record Judgement(
    Thresholds thresholds, Baseline baseline, PathBlame blame, Clock clock, boolean isOnlySuspect) {
  /**
   * Time for other VMs to contradict when this VM alone suspects several instances at once, which
   * may be its own path.
   */
  private static final Duration CONTRADICTION_TIME = Duration.ofSeconds(5);

  private static final double FRESH_FAILURE = 0.5;

  /** Share of the usual certainty that ejects an instance again that has lately returned. */
  private static final double PROBATION_SHARE = 0.6;

  /** Chance at which an instance that fails as before may pass all trials. */
  private static final double CHANCE_OF_PASSING = 0.1;

  private static final int MOST_TRIALS = 10;

  /** Judges the instance; certainty 0 leaves it in. */
  Verdict judge(InstanceEvidence.Counts own, InstanceRecord entry) {
    if (baseline.comparable() < Baseline.MINIMUM_COMPARABLE) {
      return new Verdict(0, 1, thresholds.trials());
    }
    double share = entry.isOnProbation(clock) ? PROBATION_SHARE : 1;
    EvidenceSum shared = new EvidenceSum();
    int failureWitnesses = 0;
    int slownessWitnesses = 0;
    if (!blame.isSelfDiscounted()) {
      shared.add(own);
      failureWitnesses += hasSeenFailure(own) ? 1 : 0;
      slownessWitnesses += hasSeenSlowness(own) ? 1 : 0;
    }
    for (var report : entry.reports().entrySet()) {
      if (!blame.isDiscounted(report.getKey())) {
        InstanceEvidence.Counts counts = report.getValue().counts();
        shared.add(counts);
        failureWitnesses += hasSeenFailure(counts) ? 1 : 0;
        slownessWitnesses += hasSeenSlowness(counts) ? 1 : 0;
      }
    }
    double failing = 0;
    double slow = 0;
    if (failureWitnesses >= thresholds.witnesses()) {
      failing = failureCertainty(shared, share * thresholds.sharedCertainty());
    }
    if (slownessWitnesses >= thresholds.witnesses()) {
      slow = slownessCertainty(shared, share * thresholds.sharedCertainty());
    }
    if (mayJudgeAlone(entry)) {
      EvidenceSum alone = new EvidenceSum();
      alone.add(own);
      failing = Math.max(failing, failureCertainty(alone, share * thresholds.ownCertainty()));
      slow = Math.max(slow, slownessCertainty(alone, share * thresholds.ownCertainty()));
    }
    int needed =
        failing > 0 ? thresholds.failureConfirmations() : thresholds.slownessConfirmations();
    return new Verdict(
        Math.max(failing, slow), needed, trialsNeeded(Math.max(shared.failureRate(), rateOf(own))));
  }

  private static double rateOf(InstanceEvidence.Counts counts) {
    return counts.attempts() > 0 ? counts.failures() / counts.attempts() : 0;
  }

  /** An instance that fails one request in five passes three trials half of the time. */
  private int trialsNeeded(double failureRate) {
    if (failureRate < thresholds.failureRate() || failureRate >= 1) {
      return thresholds.trials();
    }
    double needed = Math.ceil(Math.log(CHANCE_OF_PASSING) / Math.log(1 - failureRate));
    return (int) Math.max(thresholds.trials(), Math.min(MOST_TRIALS, needed));
  }

  private boolean mayJudgeAlone(InstanceRecord entry) {
    if (blame.isSelfDiscounted()) {
      return false;
    }
    @Nullable Deadline since = entry.suspectedSince;
    return isOnlySuspect
        || (since != null
            && new Deadline(since.nanos() + CONTRADICTION_TIME.toNanos()).isReached(clock));
  }

  private double failureCertainty(EvidenceSum sum, double needed) {
    double certainty = Certainty.ofFailures(sum.attempts(), sum.failures(), baseline.failureRate());
    return sum.failureRate() >= thresholds.failureRate() && certainty >= needed ? certainty : 0;
  }

  private double slownessCertainty(EvidenceSum sum, double needed) {
    double certainty = Certainty.ofSlowness(sum.samples(), sum.deviation(), baseline.variance());
    return sum.deviation() >= Math.log(thresholds.slowness()) && certainty >= needed
        ? certainty
        : 0;
  }

  private static boolean hasSeenFailure(InstanceEvidence.Counts counts) {
    return counts.failures() >= FRESH_FAILURE;
  }

  private boolean hasSeenSlowness(InstanceEvidence.Counts counts) {
    return counts.latencySamples() >= FRESH_FAILURE
        && counts.latencyDeviation() >= Math.log(thresholds.slowness()) / 2;
  }

  /**
   * Outcome of a judgement.
   *
   * @param certainty certainty with which to eject, or 0
   * @param confirmations consecutive evaluations that must agree
   * @param trials good trials that end the ejection
   */
  record Verdict(double certainty, int confirmations, int trials) {
    Verdict withCertainty(double other) {
      return new Verdict(other, 1, trials);
    }
  }
}
