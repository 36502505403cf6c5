package org.kumquatvane.ejection.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.ejection.InstanceEvidence;

/** Evidence on one instance and its ejections; guarded by the lock of the outlier detector. */
final class InstanceEjectionState {
  /**
   * Length of the probation after an ejection, as a multiple of its duration; the count of
   * ejections is reset afterwards.
   */
  private static final int PROBATION_FACTOR = 4;

  final InstanceId id;
  final Deadline warmUpEnd;
  final DecayedEvidence ownEvidence;
  boolean listedLeaving;
  boolean announcedLeaving;
  @Nullable Ejection ejection;
  @Nullable Deadline suspectedSince;
  int confirmations;
  private final Map<VmId, Report> reports = new HashMap<>(0);
  private final Map<VmId, RemoteEjection> remoteEjections = new HashMap<>(0);
  private int consecutiveEjections;
  private Deadline probationEnd;

  InstanceEjectionState(
      InstanceId id, Deadline warmUpEnd, DecayedEvidence ownEvidence, Clock clock) {
    this.id = id;
    this.warmUpEnd = warmUpEnd;
    this.ownEvidence = ownEvidence;
    probationEnd = new Deadline(clock.monotonicNanos());
  }

  boolean isLeaving() {
    return listedLeaving || announcedLeaving;
  }

  /** Returns whether the instance counts as capacity: it is not leaving and has warmed up. */
  boolean countsAsCapacity(Clock clock) {
    return !isLeaving() && warmUpEnd.isReached(clock);
  }

  Map<VmId, Report> reports() {
    return reports;
  }

  void putReport(VmId sender, InstanceEvidence.Counts counts, Deadline until) {
    reports.put(sender, new Report(counts, until));
  }

  void putRemoteEjection(
      VmId sender, InstanceEvidence.Ejected ejected, Deadline firstTrial, Deadline until) {
    remoteEjections.put(
        sender, new RemoteEjection(ejected.certainty(), ejected.firstHand(), firstTrial, until));
  }

  void removeSender(VmId sender) {
    reports.remove(sender);
    remoteEjections.remove(sender);
  }

  void expire(Clock clock, Set<VmId> scope) {
    reports
        .entrySet()
        .removeIf(
            entry -> !scope.contains(entry.getKey()) || entry.getValue().until.isReached(clock));
    remoteEjections
        .entrySet()
        .removeIf(
            entry -> !scope.contains(entry.getKey()) || entry.getValue().until.isReached(clock));
  }

  boolean isEjectedAnywhere() {
    return ejection != null || !remoteEjections.isEmpty();
  }

  /** Returns the highest certainty of any VM's ejection, or 0 if there is none. */
  double highestCertainty() {
    Ejection mine = ejection;
    double highest = mine == null ? 0 : mine.certainty();
    for (RemoteEjection remote : remoteEjections.values()) {
      highest = Math.max(highest, remote.certainty);
    }
    return highest;
  }

  /**
   * Returns the second latest first trial of the other VMs, or null if fewer than two of them eject
   * the instance.
   */
  @Nullable Deadline secondLatestRemoteTrial() {
    Deadline latest = null;
    Deadline second = null;
    for (RemoteEjection remote : remoteEjections.values()) {
      if (latest == null || remote.firstTrial.compareTo(latest) > 0) {
        second = latest;
        latest = remote.firstTrial;
      } else if (second == null || remote.firstTrial.compareTo(second) > 0) {
        second = remote.firstTrial;
      }
    }
    return second;
  }

  /**
   * Returns the highest certainty reached by at least the required number of VMs, or 0. Only
   * first-hand ejections of VMs that are not discounted count. An instance that is on probation at
   * this VM is not ejected on other VMs' evidence alone.
   */
  double corroboratedCertainty(int requiredObservers, PathFaultDetector pathFaults, Clock clock) {
    if (!probationEnd.isReached(clock)) {
      return 0;
    }
    double[] certainties =
        remoteEjections.entrySet().stream()
            .filter(entry -> entry.getValue().firstHand && !pathFaults.isDiscounted(entry.getKey()))
            .mapToDouble(entry -> entry.getValue().certainty)
            .sorted()
            .toArray();
    return certainties.length < requiredObservers
        ? 0
        : certainties[certainties.length - requiredObservers];
  }

  /**
   * Starts an ejection; its duration doubles with each consecutive one until the probation has
   * passed.
   */
  void eject(
      Clock clock,
      EjectionEvaluator.Decision decision,
      boolean firstHand,
      EjectionSettings settings) {
    Duration base = settings.baseEjection();
    Duration maximum = settings.maximumEjection();
    if (ejection == null && probationEnd.isReached(clock)) {
      consecutiveEjections = 0;
    }
    Duration duration = base;
    for (int i = 0; i < consecutiveEjections && duration.compareTo(maximum) < 0; i++) {
      duration = duration.multipliedBy(2);
    }
    if (duration.compareTo(maximum) > 0) {
      duration = maximum;
    }
    consecutiveEjections++;
    ejection =
        new Ejection(clock, decision.certainty(), duration, firstHand, decision.requiredTrials());
    confirmations = 0;
  }

  /** Ends an ejection after successful trials and discards the evidence from before it. */
  void restore(Clock clock) {
    Ejection ended = ejection;
    if (ended != null) {
      probationEnd = Deadline.after(clock, ended.duration().multipliedBy(PROBATION_FACTOR));
    }
    ejection = null;
    ownEvidence.clear();
    reports.clear();
    suspectedSince = null;
  }

  /** Returns whether the instance was restored so recently that less evidence ejects it again. */
  boolean isOnProbation(Clock clock) {
    return !probationEnd.isReached(clock);
  }

  /**
   * Reverses an ejection that the floor does not allow; it does not count as a consecutive
   * ejection.
   */
  void reverse() {
    ejection = null;
    consecutiveEjections = Math.max(0, consecutiveEjections - 1);
  }

  /** Counts reported by another VM. */
  record Report(InstanceEvidence.Counts counts, Deadline until) {}

  private record RemoteEjection(
      double certainty, boolean firstHand, Deadline firstTrial, Deadline until) {}
}
