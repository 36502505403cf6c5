package org.kumquatvane.ejection.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.Service;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.ejection.InstanceEvidence;

/** Ejection state of the instances of one service; guarded by the lock of the outlier detector. */
public final class ServiceEjectionState {
  /** Order in which ejections are kept when the floor does not allow all of them. */
  private static final Comparator<InstanceEjectionState> MOST_CERTAIN_FIRST =
      Comparator.comparingDouble(InstanceEjectionState::highestCertainty)
          .reversed()
          .thenComparing(entry -> entry.id);

  private static final int PERCENT = 100;

  /** About one response in 40 takes longer than this many standard deviations above the median. */
  private static final double USUAL_STANDARD_DEVIATIONS = 2;

  private final ServiceName name;
  private final Clock clock;
  private final Map<InstanceId, InstanceEjectionState> instances = new TreeMap<>();
  private final PathFaultDetector pathFaults;
  private @Nullable Service settings;
  private Thresholds thresholds = Thresholds.of(EjectionProfile.CAUTIOUS);
  private Baseline baseline = Baseline.EMPTY;
  private boolean hasListedInstances;

  /**
   * Creates a state without instances.
   *
   * @param name the service
   * @param clock clock of the deadlines
   * @param pathFaults VMs with a faulty network path
   */
  public ServiceEjectionState(ServiceName name, Clock clock, PathFaultDetector pathFaults) {
    this.name = name;
    this.clock = clock;
    this.pathFaults = pathFaults;
  }

  /**
   * Applies the settings of a document.
   *
   * @param service the service in the document
   */
  public void setSettings(Service service) {
    settings = service;
    thresholds = Thresholds.of(service.ejection().profile());
  }

  /**
   * Applies a VM list.
   *
   * @param leavingByInstance the listed instances and whether they are leaving
   */
  public void updateInstances(Map<InstanceId, Boolean> leavingByInstance) {
    instances.keySet().retainAll(leavingByInstance.keySet());
    Service service = settings;
    // Instances in the first list that a VM reads may have been running for any time, so they need
    // no warm-up.
    Duration warmUp =
        service == null || !hasListedInstances ? Duration.ZERO : service.capacity().warmUp();
    leavingByInstance.forEach(
        (id, leaving) ->
            instances.computeIfAbsent(id, unused -> newState(id, warmUp)).listedLeaving = leaving);
    hasListedInstances = !instances.isEmpty();
  }

  private InstanceEjectionState newState(InstanceId id, Duration warmUp) {
    return new InstanceEjectionState(
        id,
        Deadline.after(clock, warmUp),
        new DecayedEvidence(thresholds, clock.monotonicNanos()),
        clock);
  }

  /**
   * Marks an instance that has announced its departure.
   *
   * @param instance the instance
   */
  public void markLeaving(InstanceId instance) {
    @Nullable InstanceEjectionState entry = instances.get(instance);
    if (entry != null) {
      entry.announcedLeaving = true;
    }
  }

  /**
   * Returns the active ejections of this VM.
   *
   * @return instances and their ejections
   */
  public Map<InstanceId, EjectionListener.EligibilityView> ejections() {
    Map<InstanceId, EjectionListener.EligibilityView> views = new TreeMap<>();
    for (InstanceEjectionState entry : instances.values()) {
      Ejection ejection = entry.ejection;
      if (ejection != null) {
        views.put(entry.id, ejection::eligibility);
      }
    }
    return Map.copyOf(views);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param instance the instance
   * @param outcome outcome of the attempt
   * @param changes receives ejections and restorations
   */
  public void recordOutcome(InstanceId instance, AttemptOutcome outcome, EjectionListener changes) {
    @Nullable InstanceEjectionState entry = instances.get(instance);
    if (entry == null) {
      return;
    }
    boolean isEvidence =
        outcome.kind() != AttemptOutcome.Kind.SHED
            && outcome.kind() != AttemptOutcome.Kind.CANCELLED
            && !timedOutTooEarly(outcome);
    Ejection ejection = entry.ejection;
    if (ejection != null) {
      recordTrial(entry, ejection, outcome, isEvidence, changes);
    } else if (isEvidence && countedAsCapacity(entry, outcome)) {
      entry.ownEvidence.add(outcome, clock.monotonicNanos());
      if (outcome.kind() != AttemptOutcome.Kind.SUCCESS && thresholds.failureConfirmations() <= 1) {
        evaluate(entry, false, changes);
      }
    }
  }

  /**
   * Returns whether an attempt timed out so early that healthy instances would often not have
   * responded either, as after a long wait in the queue or with a short caller deadline.
   */
  private boolean timedOutTooEarly(AttemptOutcome outcome) {
    return outcome.kind() == AttemptOutcome.Kind.TIMED_OUT
        && baseline.instancesWithLatency() >= Baseline.MINIMUM_INSTANCES
        && DecayedEvidence.logLatency(outcome)
            < baseline.medianLogLatency()
                + USUAL_STANDARD_DEVIATIONS * Math.sqrt(baseline.variance());
  }

  /**
   * Returns whether an attempt began after the warm-up; earlier ones only show that the instance
   * was cold.
   */
  private boolean countedAsCapacity(InstanceEjectionState entry, AttemptOutcome outcome) {
    long startedNanos = clock.monotonicNanos() - outcome.latency().toNanos();
    return !entry.isLeaving() && startedNanos - entry.warmUpEnd.nanos() >= 0;
  }

  private void recordTrial(
      InstanceEjectionState entry,
      Ejection ejection,
      AttemptOutcome outcome,
      boolean isEvidence,
      EjectionListener changes) {
    long started = clock.monotonicNanos() - outcome.latency().toNanos();
    if (started - ejection.firstTrial().nanos() < 0) {
      return; // Sent before the ejection, so not a trial.
    }
    ejection.delayNextTrial(clock);
    if (!isEvidence) {
      return;
    }
    if (outcome.kind() != AttemptOutcome.Kind.SUCCESS) {
      prolong(entry, ejection, changes);
      return;
    }
    ejection.recordSuccessfulTrial(DecayedEvidence.logLatency(outcome));
    if (!ejection.hasEnoughSuccessfulTrials()) {
      return;
    }
    boolean isSlow =
        baseline.instancesWithLatency() >= Baseline.MINIMUM_INSTANCES
            && ejection.trialMeanLogLatency() - baseline.medianLogLatency()
                > Math.log(thresholds.minimumLatencyRatio());
    if (isSlow) {
      prolong(entry, ejection, changes);
    } else {
      entry.restore(clock);
      changes.restored(name, entry.id);
    }
  }

  private void prolong(InstanceEjectionState entry, Ejection ejection, EjectionListener changes) {
    Service service = settings;
    if (service != null) {
      EjectionEvaluator.Decision decision =
          new EjectionEvaluator.Decision(ejection.certainty(), 1, ejection.requiredTrials());
      entry.eject(clock, decision, true, service.ejection());
      changes.prolonged(name, entry.id);
    }
  }

  /**
   * Stores the counts that another VM reported for an instance.
   *
   * @param sender the VM
   * @param counts its counts
   * @param until when the counts expire
   */
  public void putReport(VmId sender, InstanceEvidence.Counts counts, Deadline until) {
    @Nullable InstanceEjectionState entry = instances.get(counts.instance());
    if (entry != null) {
      entry.putReport(sender, counts, until);
    }
  }

  /**
   * Stores an ejection by another VM.
   *
   * @param sender the VM
   * @param ejected its ejection
   * @param slack time after its end for which it still counts if no further message of the VM
   *     arrives
   */
  public void putRemoteEjection(VmId sender, InstanceEvidence.Ejected ejected, Duration slack) {
    @Nullable InstanceEjectionState entry = instances.get(ejected.instance());
    Service service = settings;
    if (entry != null && service != null) {
      long longest = service.ejection().maximumEjection().toMillis();
      Duration remaining =
          Duration.ofMillis(Math.max(0, Math.min(longest, ejected.remainingMillis())));
      entry.putRemoteEjection(
          sender,
          ejected,
          Deadline.after(clock, remaining),
          Deadline.after(clock, remaining.plus(slack)));
    }
  }

  /**
   * Removes the counts and ejections that a VM has reported.
   *
   * @param sender the VM
   */
  public void removeSender(VmId sender) {
    instances.values().forEach(entry -> entry.removeSender(sender));
  }

  /**
   * Updates evidence and baseline.
   *
   * @param scope the other VMs whose reports are used
   * @return whether any evidence is left
   */
  public boolean refresh(Set<VmId> scope) {
    long now = clock.monotonicNanos();
    List<DecayedEvidence> comparable = new ArrayList<>();
    double attempts = 0;
    for (InstanceEjectionState entry : instances.values()) {
      entry.expire(clock, scope);
      entry.ownEvidence.decay(now);
      attempts += entry.ownEvidence.attempts();
      Ejection ejection = entry.ejection;
      if (ejection == null && entry.countsAsCapacity(clock)) {
        comparable.add(entry.ownEvidence);
      } else if (ejection != null) {
        refreshEjection(entry, ejection);
      }
    }
    baseline = Baseline.of(comparable);
    for (InstanceEjectionState entry : instances.values()) {
      refreshSuspicion(entry);
    }
    return attempts > PathFaultDetector.NEGLIGIBLE_ATTEMPTS || hasEjectionsOrReports();
  }

  private boolean hasEjectionsOrReports() {
    return instances.values().stream()
        .anyMatch(entry -> entry.isEjectedAnywhere() || !entry.reports().isEmpty());
  }

  private void refreshEjection(InstanceEjectionState entry, Ejection ejection) {
    if (ejection.firstTrial().isReached(clock)) {
      entry.ownEvidence.clear();
    }
    // Failed trials of other VMs postpone the first trial here. Two VMs must agree, so that a fault
    // of one VM's network path cannot keep an instance ejected.
    @Nullable Deadline later = entry.secondLatestRemoteTrial();
    if (later != null) {
      ejection.postpone(later);
    }
  }

  private void refreshSuspicion(InstanceEjectionState entry) {
    if (!pathFaults.isSuspicious(countsOf(entry), baseline)) {
      entry.suspectedSince = null;
    } else if (entry.suspectedSince == null) {
      entry.suspectedSince = new Deadline(clock.monotonicNanos());
    }
  }

  /**
   * Counts for each VM the instances on which its suspicious evidence is contradicted by the other
   * VMs.
   *
   * @param contradictions receives the counts
   */
  public void addContradictions(Map<VmId, Integer> contradictions) {
    for (InstanceEjectionState entry : instances.values()) {
      pathFaults.addContradictions(countsOf(entry), entry.reports(), baseline, contradictions);
    }
  }

  /**
   * Evaluates all instances.
   *
   * @param changes receives ejections and restorations
   */
  public void evaluateAll(EjectionListener changes) {
    for (InstanceEjectionState entry : instances.values()) {
      evaluate(entry, true, changes);
    }
  }

  private void evaluate(InstanceEjectionState entry, boolean isPeriodic, EjectionListener changes) {
    Service service = settings;
    if (service == null
        || service.ejection().profile() == EjectionProfile.NONE
        || entry.ejection != null
        || !entry.countsAsCapacity(clock)) {
      return;
    }
    EjectionEvaluator evaluator =
        new EjectionEvaluator(
            thresholds,
            baseline,
            pathFaults,
            clock,
            () -> CommonFailures.of(instances.values(), pathFaults, clock),
            countSuspected() <= 1);
    EjectionEvaluator.Decision decision = evaluator.evaluate(countsOf(entry), entry);
    boolean isFirstHand = decision.certainty() > 0;
    if (!isFirstHand) {
      decision =
          decision.withCertainty(
              entry.corroboratedCertainty(thresholds.requiredObservers(), pathFaults, clock));
    }
    double certainty = decision.certainty();
    if (certainty <= 0) {
      entry.confirmations = isPeriodic ? 0 : entry.confirmations;
      return;
    }
    entry.confirmations += isPeriodic ? 1 : 0;
    if (Math.max(1, entry.confirmations) < decision.requiredConfirmations()) {
      return;
    }
    if (countOtherEjected(entry) >= allowedEjections()) {
      changes.deniedByFloor(name, entry.id);
      return;
    }
    entry.eject(clock, decision, isFirstHand, service.ejection());
    changes.ejected(name, entry.id, certainty);
    enforceFloor(changes);
  }

  private long countSuspected() {
    return instances.values().stream()
        .filter(
            entry ->
                entry.ejection == null
                    && entry.countsAsCapacity(clock)
                    && pathFaults.isSuspicious(countsOf(entry), baseline))
        .count();
  }

  /**
   * Counts the other instances that any VM ejects. More certain evidence displaces none of them:
   * instances that remain in use accumulate more evidence, so that the ejected instances would
   * alternate.
   */
  private long countOtherEjected(InstanceEjectionState entry) {
    return instances.values().stream()
        .filter(
            other -> other != entry && other.isEjectedAnywhere() && other.countsAsCapacity(clock))
        .count();
  }

  /**
   * Counts the other instances whose ejection by any VM ranks before an ejection of the given
   * certainty.
   */
  private long countRankedBefore(InstanceEjectionState entry, double certainty) {
    return instances.values().stream()
        .filter(
            other -> other != entry && other.isEjectedAnywhere() && other.countsAsCapacity(clock))
        .filter(
            other -> {
              int order =
                  Double.compare(
                      other.highestCertainty(), Math.max(certainty, entry.highestCertainty()));
              return order > 0 || (order == 0 && other.id.compareTo(entry.id) < 0);
            })
        .count();
  }

  private long countCapacity() {
    return instances.values().stream().filter(entry -> entry.countsAsCapacity(clock)).count();
  }

  /** Returns how many instances the fleet may eject in total. */
  private long allowedEjections() {
    Service service = settings;
    if (service == null || service.ejection().profile() == EjectionProfile.NONE) {
      return 0;
    }
    return Math.max(0, countCapacity() - minimumHealthy(service));
  }

  private long minimumHealthy(Service service) {
    long present = instances.values().stream().filter(entry -> !entry.isLeaving()).count();
    return (present * service.ejection().healthyFloorPercent() + PERCENT - 1) / PERCENT;
  }

  /**
   * Reverses ejections of this VM, the least certain first, until the floor holds for the combined
   * ejections of all VMs. The other VMs apply the same order.
   *
   * @param changes receives reversals
   */
  public void enforceFloor(EjectionListener changes) {
    List<InstanceEjectionState> ejected =
        instances.values().stream()
            .filter(entry -> entry.isEjectedAnywhere() && entry.countsAsCapacity(clock))
            .sorted(MOST_CERTAIN_FIRST)
            .toList();
    long allowed = allowedEjections();
    for (int rank = ejected.size() - 1; rank >= allowed; rank--) {
      InstanceEjectionState entry = ejected.get(rank);
      if (entry.ejection != null) {
        entry.reverse();
        changes.reversed(name, entry.id);
      }
    }
  }

  /**
   * Returns whether the floor holds: this VM has no ejection beyond those that the floor allows the
   * whole fleet.
   *
   * @return whether healthy capacity is at or above the floor, or below it without an ejection of
   *     this VM as the cause
   */
  public boolean isFloorSatisfied() {
    Service service = settings;
    if (service == null) {
      return true;
    }
    long healthy = 0;
    boolean ejectsCapacity = false;
    for (InstanceEjectionState entry : instances.values()) {
      if (entry.countsAsCapacity(clock)) {
        ejectsCapacity |= entry.ejection != null;
        healthy += entry.ejection == null ? 1 : 0;
      }
    }
    boolean holdsOverOwnEjections = !ejectsCapacity || healthy >= minimumHealthy(service);
    return holdsOverOwnEjections
        && instances.values().stream()
            .filter(entry -> entry.ejection != null && entry.countsAsCapacity(clock))
            .allMatch(
                entry -> countRankedBefore(entry, 0) < countCapacity() - minimumHealthy(service));
  }

  /**
   * Adds this VM's evidence on the instances to a message.
   *
   * @param counts receives counts of suspected instances
   * @param ejections receives ejections
   */
  public void addEvidence(
      Collection<InstanceEvidence.Counts> counts, Collection<InstanceEvidence.Ejected> ejections) {
    for (InstanceEjectionState entry : instances.values()) {
      InstanceEvidence.Counts own = countsOf(entry);
      boolean isUnderSuspicion =
          pathFaults.isSuspicious(own, baseline)
              || entry.reports().values().stream()
                  .anyMatch(report -> pathFaults.isSuspicious(report.counts(), baseline));
      if (isUnderSuspicion && own.attempts() > PathFaultDetector.NEGLIGIBLE_ATTEMPTS) {
        counts.add(own);
      }
      Ejection ejection = entry.ejection;
      if (ejection != null) {
        long remaining = Math.max(0, ejection.firstTrial().remainingNanos(clock));
        ejections.add(
            new InstanceEvidence.Ejected(
                name,
                entry.id,
                ejection.certainty(),
                Duration.ofNanos(remaining).toMillis(),
                ejection.isFirstHand()));
      }
    }
  }

  private InstanceEvidence.Counts countsOf(InstanceEjectionState entry) {
    boolean hasLatency =
        baseline.instancesWithLatency() >= Baseline.MINIMUM_INSTANCES
            && entry.ownEvidence.latencySamples() > 0;
    return new InstanceEvidence.Counts(
        name,
        entry.id,
        entry.ownEvidence.attempts(),
        entry.ownEvidence.failures(),
        hasLatency ? entry.ownEvidence.latencySamples() : 0,
        hasLatency ? entry.ownEvidence.meanLogLatency() - baseline.medianLogLatency() : 0);
  }
}
