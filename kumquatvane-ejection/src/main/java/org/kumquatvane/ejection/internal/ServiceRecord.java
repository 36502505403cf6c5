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
import org.kumquatvane.ejection.InstanceEvidence;
import org.kumquatvane.ejection.Observation;

/** Judgement about the instances of one service; guarded by the lock of the health table. */
public final class ServiceRecord {
  /** Order in which ejections are kept when the floor does not allow all: most certain first. */
  private static final Comparator<InstanceRecord> MOST_CERTAIN_FIRST =
      Comparator.comparingDouble(InstanceRecord::highestCertainty)
          .reversed()
          .thenComparing(entry -> entry.id);

  private static final int PERCENT = 100;

  /** One in 40 answers takes longer than this many standard deviations above the median. */
  private static final double USUAL_DEVIATIONS = 2;

  private final ServiceName name;
  private final Clock clock;
  private final Map<InstanceId, InstanceRecord> instances = new TreeMap<>();
  private final PathBlame blame;
  private @Nullable Service settings;
  private Thresholds thresholds = Thresholds.of(EjectionProfile.CAUTIOUS);
  private Baseline baseline = Baseline.EMPTY;
  private boolean listed;

  /**
   * Creates a record without instances.
   *
   * @param name the service
   * @param clock clock of the deadlines
   * @param blame tells which VMs have a bad network path
   */
  public ServiceRecord(ServiceName name, Clock clock, PathBlame blame) {
    this.name = name;
    this.clock = clock;
    this.blame = blame;
  }

  /**
   * Applies settings.
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
   * @param leavingByInstance the listed instances and whether they leave
   */
  public void update(Map<InstanceId, Boolean> leavingByInstance) {
    instances.keySet().retainAll(leavingByInstance.keySet());
    Service service = settings;
    // The first list a VM reads says nothing about the age of its instances.
    Duration warmUp = service == null || !listed ? Duration.ZERO : service.capacity().warmUp();
    leavingByInstance.forEach(
        (id, leaving) ->
            instances.computeIfAbsent(id, unused -> newRecord(id, warmUp)).listedLeaving = leaving);
    listed = !instances.isEmpty();
  }

  private InstanceRecord newRecord(InstanceId id, Duration warmUp) {
    return new InstanceRecord(
        id,
        Deadline.after(clock, warmUp),
        new DecayedEvidence(thresholds, clock.monotonicNanos()),
        clock);
  }

  /**
   * Marks an instance that said itself that it leaves.
   *
   * @param instance the instance
   */
  public void markLeaving(InstanceId instance) {
    @Nullable InstanceRecord entry = instances.get(instance);
    if (entry != null) {
      entry.saidLeaving = true;
    }
  }

  /**
   * Returns the ejections in force on this VM.
   *
   * @return instances and their ejections
   */
  public Map<InstanceId, Ejections.View> ejections() {
    Map<InstanceId, Ejections.View> views = new TreeMap<>();
    for (InstanceRecord entry : instances.values()) {
      Ejection ejection = entry.ejection;
      if (ejection != null) {
        views.put(entry.id, ejection::eligibility);
      }
    }
    return Map.copyOf(views);
  }

  /**
   * Takes note of an attempt.
   *
   * @param instance the instance
   * @param observation what it showed
   * @param changes receives ejections and returns
   */
  public void observe(InstanceId instance, Observation observation, Ejections changes) {
    @Nullable InstanceRecord entry = instances.get(instance);
    if (entry == null) {
      return;
    }
    boolean isEvidence =
        observation.kind() != Observation.Kind.SHED
            && observation.kind() != Observation.Kind.CANCELLED
            && !hadTooLittleTime(observation);
    Ejection ejection = entry.ejection;
    if (ejection != null) {
      observeTrial(entry, ejection, observation, isEvidence, changes);
    } else if (isEvidence && wasCapacity(entry, observation)) {
      entry.own.add(observation, clock.monotonicNanos());
      if (observation.kind() != Observation.Kind.SUCCESS
          && thresholds.failureConfirmations() <= 1) {
        evaluate(entry, false, changes);
      }
    }
  }

  /**
   * Tells whether an attempt timed out so soon that good instances would often not have answered
   * either, as after a long wait in the queue or with a caller that allows little time.
   */
  private boolean hadTooLittleTime(Observation observation) {
    return observation.kind() == Observation.Kind.TIMED_OUT
        && baseline.latencyComparable() >= Baseline.MINIMUM_COMPARABLE
        && DecayedEvidence.logOf(observation)
            < baseline.medianLog() + USUAL_DEVIATIONS * Math.sqrt(baseline.variance());
  }

  /** An attempt that began during the warm-up shows how cold the instance was. */
  private boolean wasCapacity(InstanceRecord entry, Observation observation) {
    long startedNanos = clock.monotonicNanos() - observation.latency().toNanos();
    return !entry.isLeaving() && startedNanos - entry.warmAt.nanos() >= 0;
  }

  private void observeTrial(
      InstanceRecord entry,
      Ejection ejection,
      Observation observation,
      boolean isEvidence,
      Ejections changes) {
    long started = clock.monotonicNanos() - observation.latency().toNanos();
    if (started - ejection.firstTrial().nanos() < 0) {
      return; // Sent before the ejection; no trial.
    }
    ejection.spaceTrials(clock);
    if (!isEvidence) {
      return;
    }
    if (observation.kind() != Observation.Kind.SUCCESS) {
      prolong(entry, ejection, changes);
      return;
    }
    ejection.trialSucceeded(DecayedEvidence.logOf(observation));
    if (!ejection.hasAllTrials()) {
      return;
    }
    boolean isSlow =
        baseline.latencyComparable() >= Baseline.MINIMUM_COMPARABLE
            && ejection.trialMeanLog() - baseline.medianLog() > Math.log(thresholds.slowness());
    if (isSlow) {
      prolong(entry, ejection, changes);
    } else {
      entry.restore(clock);
      changes.restored(name, entry.id);
    }
  }

  private void prolong(InstanceRecord entry, Ejection ejection, Ejections changes) {
    Service service = settings;
    if (service != null) {
      Judgement.Verdict verdict = new Judgement.Verdict(ejection.certainty(), 1, ejection.trials());
      entry.eject(clock, verdict, true, service.ejection());
      changes.prolonged(name, entry.id);
    }
  }

  /**
   * Stores what another VM reported about an instance.
   *
   * @param sender the VM
   * @param counts its counts
   * @param until when they are too old
   */
  public void putReport(VmId sender, InstanceEvidence.Counts counts, Deadline until) {
    @Nullable InstanceRecord entry = instances.get(counts.instance());
    if (entry != null) {
      entry.putReport(sender, counts, until);
    }
  }

  /**
   * Stores that another VM ejects an instance.
   *
   * @param sender the VM
   * @param ejected its ejection
   * @param slack time after its end until which it counts if the VM is not heard again
   */
  public void putRemoteEjection(VmId sender, InstanceEvidence.Ejected ejected, Duration slack) {
    @Nullable InstanceRecord entry = instances.get(ejected.instance());
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
   * Forgets what a VM said before.
   *
   * @param sender the VM
   */
  public void removeSender(VmId sender) {
    instances.values().forEach(entry -> entry.removeSender(sender));
  }

  /**
   * Brings evidence and baseline up to date.
   *
   * @param scope the other VMs that count
   * @return whether any evidence is left
   */
  public boolean refresh(Set<VmId> scope) {
    long now = clock.monotonicNanos();
    List<DecayedEvidence> comparable = new ArrayList<>();
    double attempts = 0;
    for (InstanceRecord entry : instances.values()) {
      entry.expire(clock, scope);
      entry.own.decay(now);
      attempts += entry.own.attempts();
      Ejection ejection = entry.ejection;
      if (ejection == null && entry.isCapacity(clock)) {
        comparable.add(entry.own);
      } else if (ejection != null) {
        refreshEjection(entry, ejection);
      }
    }
    baseline = Baseline.of(comparable);
    for (InstanceRecord entry : instances.values()) {
      refreshSuspicion(entry);
    }
    return attempts > PathBlame.NEGLIGIBLE_ATTEMPTS || hasTalk();
  }

  private boolean hasTalk() {
    return instances.values().stream()
        .anyMatch(entry -> entry.isEjectedAnywhere() || !entry.reports().isEmpty());
  }

  private void refreshEjection(InstanceRecord entry, Ejection ejection) {
    if (ejection.firstTrial().isReached(clock)) {
      entry.own.clear();
    }
    // One VM's failed trial serves for all, but a single VM's path cannot keep an instance out.
    @Nullable Deadline later = entry.secondLatestRemoteTrial();
    if (later != null) {
      ejection.postpone(later);
    }
  }

  private void refreshSuspicion(InstanceRecord entry) {
    if (!blame.isSuspicious(countsOf(entry), baseline)) {
      entry.suspectedSince = null;
    } else if (entry.suspectedSince == null) {
      entry.suspectedSince = new Deadline(clock.monotonicNanos());
    }
  }

  /**
   * Counts for each VM the instances on which its bad evidence is contradicted by the others.
   *
   * @param contradictions receives the counts
   */
  public void addContradictions(Map<VmId, Integer> contradictions) {
    for (InstanceRecord entry : instances.values()) {
      blame.addContradictions(countsOf(entry), entry.reports(), baseline, contradictions);
    }
  }

  /**
   * Judges all instances.
   *
   * @param changes receives ejections and returns
   */
  public void evaluateAll(Ejections changes) {
    for (InstanceRecord entry : instances.values()) {
      evaluate(entry, true, changes);
    }
  }

  private void evaluate(InstanceRecord entry, boolean isPeriodic, Ejections changes) {
    Service service = settings;
    if (service == null
        || service.ejection().profile() == EjectionProfile.NONE
        || entry.ejection != null
        || !entry.isCapacity(clock)) {
      return;
    }
    Judgement judgement =
        new Judgement(thresholds, baseline, blame, clock, suspectedInstances() <= 1);
    Judgement.Verdict verdict = judgement.judge(countsOf(entry), entry);
    boolean isWitnessed = verdict.certainty() > 0;
    if (!isWitnessed) {
      verdict =
          verdict.withCertainty(entry.witnessedCertainty(thresholds.witnesses(), blame, clock));
    }
    double certainty = verdict.certainty();
    if (certainty <= 0) {
      entry.confirmations = isPeriodic ? 0 : entry.confirmations;
      return;
    }
    entry.confirmations += isPeriodic ? 1 : 0;
    if (Math.max(1, entry.confirmations) < verdict.confirmations()) {
      return;
    }
    if (ejectedBesides(entry) >= allowedEjections()) {
      changes.deniedByFloor(name, entry.id);
      return;
    }
    entry.eject(clock, verdict, isWitnessed, service.ejection());
    changes.ejected(name, entry.id, certainty);
    enforceFloor(changes);
  }

  private long suspectedInstances() {
    return instances.values().stream()
        .filter(
            entry ->
                entry.ejection == null
                    && entry.isCapacity(clock)
                    && blame.isSuspicious(countsOf(entry), baseline))
        .count();
  }

  /**
   * Counts the other instances that any VM ejects. More certain evidence displaces none of them:
   * instances that are left in gather ever more evidence, and the ejected ones would take turns.
   */
  private long ejectedBesides(InstanceRecord entry) {
    return instances.values().stream()
        .filter(other -> other != entry && other.isEjectedAnywhere() && other.isCapacity(clock))
        .count();
  }

  /** Counts other instances whose ejection by any VM ranks before one of the given certainty. */
  private long moreCertain(InstanceRecord entry, double certainty) {
    return instances.values().stream()
        .filter(other -> other != entry && other.isEjectedAnywhere() && other.isCapacity(clock))
        .filter(
            other -> {
              int order =
                  Double.compare(
                      other.highestCertainty(), Math.max(certainty, entry.highestCertainty()));
              return order > 0 || (order == 0 && other.id.compareTo(entry.id) < 0);
            })
        .count();
  }

  private long capacity() {
    return instances.values().stream().filter(entry -> entry.isCapacity(clock)).count();
  }

  /** Returns how many instances the fleet may eject, over all reasons. */
  private long allowedEjections() {
    Service service = settings;
    if (service == null || service.ejection().profile() == EjectionProfile.NONE) {
      return 0;
    }
    return Math.max(0, capacity() - floor(service));
  }

  private long floor(Service service) {
    long present = instances.values().stream().filter(entry -> !entry.isLeaving()).count();
    return (present * service.ejection().healthyFloorPercent() + PERCENT - 1) / PERCENT;
  }

  /**
   * Reverses ejections of this VM, the least certain first, until the floor holds over the
   * ejections of all VMs. Other VMs do the same in the same order.
   *
   * @param changes receives reversals
   */
  public void enforceFloor(Ejections changes) {
    List<InstanceRecord> ejected =
        instances.values().stream()
            .filter(entry -> entry.isEjectedAnywhere() && entry.isCapacity(clock))
            .sorted(MOST_CERTAIN_FIRST)
            .toList();
    long allowed = allowedEjections();
    for (int rank = ejected.size() - 1; rank >= allowed; rank--) {
      InstanceRecord entry = ejected.get(rank);
      if (entry.ejection != null) {
        entry.reverse();
        changes.reversed(name, entry.id);
      }
    }
  }

  /**
   * Tells whether the floor holds: no ejection of this VM stands beyond those that the floor allows
   * the whole fleet.
   *
   * @return whether healthy capacity is at the floor, or below it through no ejection of this VM
   */
  public boolean isFloorKept() {
    Service service = settings;
    if (service == null) {
      return true;
    }
    long healthy = 0;
    boolean ejectsCapacity = false;
    for (InstanceRecord entry : instances.values()) {
      if (entry.isCapacity(clock)) {
        ejectsCapacity |= entry.ejection != null;
        healthy += entry.ejection == null ? 1 : 0;
      }
    }
    boolean keptByItself = !ejectsCapacity || healthy >= floor(service);
    return keptByItself
        && instances.values().stream()
            .filter(entry -> entry.ejection != null && entry.isCapacity(clock))
            .allMatch(entry -> moreCertain(entry, 0) < capacity() - floor(service));
  }

  /**
   * Adds what this VM has to say about its instances.
   *
   * @param counts receives counts of instances under suspicion
   * @param ejections receives ejections
   */
  public void addEvidence(
      Collection<InstanceEvidence.Counts> counts, Collection<InstanceEvidence.Ejected> ejections) {
    for (InstanceRecord entry : instances.values()) {
      InstanceEvidence.Counts own = countsOf(entry);
      boolean isDiscussed =
          blame.isSuspicious(own, baseline)
              || entry.reports().values().stream()
                  .anyMatch(report -> blame.isSuspicious(report.counts(), baseline));
      if (isDiscussed && own.attempts() > PathBlame.NEGLIGIBLE_ATTEMPTS) {
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
                ejection.isWitnessed()));
      }
    }
  }

  private InstanceEvidence.Counts countsOf(InstanceRecord entry) {
    boolean hasLatency =
        baseline.latencyComparable() >= Baseline.MINIMUM_COMPARABLE && entry.own.samples() > 0;
    return new InstanceEvidence.Counts(
        name,
        entry.id,
        entry.own.attempts(),
        entry.own.failures(),
        hasLatency ? entry.own.samples() : 0,
        hasLatency ? entry.own.meanLog() - baseline.medianLog() : 0);
  }
}
