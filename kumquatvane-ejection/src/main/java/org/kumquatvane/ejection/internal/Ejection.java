package org.kumquatvane.ejection.internal;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.ejection.Eligibility;

/**
 * One ejection of an instance by this VM. Written under the lock of the health table; eligibility
 * is read without it, on every request.
 */
final class Ejection {
  private static final Duration TRIAL_SPACING = Duration.ofMillis(250);

  private final double certainty;
  private final Duration length;
  private final boolean firstHand;
  private final int trials;
  private volatile Deadline firstTrial;
  private volatile Deadline nextTrial;
  private int goodTrials;
  private double trialLogLatencySum;

  Ejection(Clock clock, double certainty, Duration length, boolean firstHand, int trials) {
    this.trials = trials;
    this.certainty = certainty;
    this.firstHand = firstHand;
    this.length = length;
    firstTrial = Deadline.after(clock, length);
    nextTrial = firstTrial;
  }

  Eligibility eligibility(Clock clock) {
    return nextTrial.isReached(clock) ? Eligibility.TRIAL : Eligibility.EJECTED;
  }

  /** Moves the first trial back; ignored once trials have begun. */
  void postpone(Deadline later) {
    if (goodTrials == 0 && later.compareTo(firstTrial) > 0) {
      firstTrial = later;
      nextTrial = later;
    }
  }

  /** Waits before the next trial, whatever the last one showed. */
  void spaceTrials(Clock clock) {
    nextTrial = Deadline.after(clock, TRIAL_SPACING);
  }

  void trialSucceeded(double logLatency) {
    goodTrials++;
    trialLogLatencySum += logLatency;
  }

  boolean hasAllTrials() {
    return goodTrials >= trials;
  }

  int trials() {
    return trials;
  }

  double trialMeanLogLatency() {
    return goodTrials == 0 ? 0 : trialLogLatencySum / goodTrials;
  }

  double certainty() {
    return certainty;
  }

  Duration length() {
    return length;
  }

  boolean isFirstHand() {
    return firstHand;
  }

  Deadline firstTrial() {
    return firstTrial;
  }
}
