package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.ejection.Eligibility;

/**
 * One ejection of an instance by this VM. Modified under the lock of the outlier detector; the
 * eligibility is read without the lock on every request.
 */
final class Ejection {
  private static final Duration TRIAL_INTERVAL = Duration.ofMillis(250);

  private final double certainty;
  private final Duration duration;
  private final boolean firstHand;
  private final int requiredTrials;
  private volatile Deadline firstTrial;
  private volatile Deadline nextTrial;
  private int successfulTrials;
  private double trialLogLatencySum;

  Ejection(
      Clock clock, double certainty, Duration duration, boolean firstHand, int requiredTrials) {
    this.requiredTrials = requiredTrials;
    this.certainty = certainty;
    this.firstHand = firstHand;
    this.duration = duration;
    firstTrial = Deadline.after(clock, duration);
    nextTrial = firstTrial;
  }

  Eligibility eligibility(Clock clock) {
    return nextTrial.isReached(clock) ? Eligibility.TRIAL : Eligibility.EJECTED;
  }

  /** Postpones the first trial; ignored once a trial has succeeded. */
  void postpone(Deadline later) {
    if (successfulTrials == 0 && later.compareTo(firstTrial) > 0) {
      firstTrial = later;
      nextTrial = later;
    }
  }

  /** Delays the next trial, regardless of the result of the last one. */
  void delayNextTrial(Clock clock) {
    nextTrial = Deadline.after(clock, TRIAL_INTERVAL);
  }

  void recordSuccessfulTrial(double logLatency) {
    successfulTrials++;
    trialLogLatencySum += logLatency;
  }

  boolean hasEnoughSuccessfulTrials() {
    return successfulTrials >= requiredTrials;
  }

  int requiredTrials() {
    return requiredTrials;
  }

  double trialMeanLogLatency() {
    return successfulTrials == 0 ? 0 : trialLogLatencySum / successfulTrials;
  }

  double certainty() {
    return certainty;
  }

  Duration duration() {
    return duration;
  }

  boolean isFirstHand() {
    return firstHand;
  }

  Deadline firstTrial() {
    return firstTrial;
  }
}
