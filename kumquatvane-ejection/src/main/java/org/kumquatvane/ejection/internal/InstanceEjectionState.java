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

/** Everything this VM knows about one instance; guarded by the lock of the health table. */
final class InstanceEjectionState {
  /** Ejections are forgotten after the instance has been good for this many times the last one. */
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

  /** Tells whether the instance counts as capacity: live, not leaving and warmed up. */
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

  /** Returns the highest certainty behind any VM's ejection, or 0 without one. */
  double highestCertainty() {
    Ejection mine = ejection;
    double highest = mine == null ? 0 : mine.certainty();
    for (RemoteEjection remote : remoteEjections.values()) {
      highest = Math.max(highest, remote.certainty);
    }
    return highest;
  }

  /** Returns the second latest trial that other VMs plan, or null if fewer than two eject. */
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
   * Returns the certainty that so many trustworthy VMs share from their own attempts, or 0. An
   * instance whose trials have lately succeeded here is not ejected on the word of others.
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

  /** Starts an ejection, twice as long as the last one unless that is forgotten. */
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
    Duration length = base;
    for (int i = 0; i < consecutiveEjections && length.compareTo(maximum) < 0; i++) {
      length = length.multipliedBy(2);
    }
    if (length.compareTo(maximum) > 0) {
      length = maximum;
    }
    consecutiveEjections++;
    ejection = new Ejection(clock, decision.certainty(), length, firstHand, decision.trials());
    confirmations = 0;
  }

  /** Ends an ejection after good trials; evidence from before it says nothing any more. */
  void restore(Clock clock) {
    Ejection ended = ejection;
    if (ended != null) {
      probationEnd = Deadline.after(clock, ended.length().multipliedBy(PROBATION_FACTOR));
    }
    ejection = null;
    ownEvidence.clear();
    reports.clear();
    suspectedSince = null;
  }

  /** Tells whether the instance has returned so lately that less evidence ejects it again. */
  boolean isOnProbation(Clock clock) {
    return !probationEnd.isReached(clock);
  }

  /** Takes an ejection back that the floor does not allow; it does not count as a repeat. */
  void reverse() {
    ejection = null;
    consecutiveEjections = Math.max(0, consecutiveEjections - 1);
  }

  /** Counts that another VM reported. */
  record Report(InstanceEvidence.Counts counts, Deadline until) {}

  private record RemoteEjection(
      double certainty, boolean firstHand, Deadline firstTrial, Deadline until) {}
}
