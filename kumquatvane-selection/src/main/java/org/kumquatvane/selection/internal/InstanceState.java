package org.kumquatvane.selection.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.Reservation;

/** State of one instance as known to this VM. Guarded by the pool's lock. */
public final class InstanceState {
  /**
   * Prior failure probability: about a third of the instances are in a failure period at any time.
   */
  private static final double INSTANCE_FAILURE_PRIOR = 0.3;

  /** Failure periods last a few seconds and recur about every ten seconds. */
  private static final double INSTANCE_DECAY_SECONDS = 2.1;

  /** Network paths of this VM fail far less often than instances. */
  private static final double PATH_FAILURE_PRIOR = 0.05;

  private static final double PATH_DECAY_SECONDS = 4;

  /** Pending attempts at an instance are correlated, so further ones add no evidence. */
  private static final int MAXIMUM_PENDING_EVIDENCE = 3;

  /** Entries of removed instances expire after three heartbeats of 1.5 s, that is, within 5 s. */
  private static final Duration LEAVING_CONFIRMATION_TIME = Duration.ofSeconds(5);

  /** Idle connections carry requests that cannot be retried for no longer than this. */
  private static final Duration CONNECTION_IDLE_LIMIT = Duration.ofSeconds(6);

  private static final double NANOS_PER_MILLI = 1e6;

  private final Clock clock;
  private final ServiceLatency latency;
  private final FailureEstimate instanceFailure;
  private final FailureEstimate pathFailure;
  private final List<Long> ownStartTimes = new ArrayList<>();
  private final Map<VmId, PeerAttempts> peerAttempts = new HashMap<>();
  private final RepeatedFailures peerFailures;
  private Instance instance;
  private @Nullable Deadline leavingUntil;
  private boolean hasAnnouncedLeaving;
  private @Nullable Deadline pausedUntil;
  private Reservation.SelectionSnapshot snapshot = Reservation.SelectionSnapshot.NONE;
  private long lastResponseNanos;
  private @Nullable Deadline connectedUntil;
  private List<VmId> assignmentOrder = List.of();
  private int assignmentVersion = -1;

  InstanceState(Instance instance, ServiceLatency latency, Clock clock) {
    this.instance = instance;
    this.latency = latency;
    this.clock = clock;
    long now = clock.monotonicNanos();
    instanceFailure = new FailureEstimate(INSTANCE_FAILURE_PRIOR, INSTANCE_DECAY_SECONDS, now);
    pathFailure = new FailureEstimate(PATH_FAILURE_PRIOR, PATH_DECAY_SECONDS, now);
    lastResponseNanos = now;
    peerFailures = new RepeatedFailures(clock);
  }

  /**
   * Returns the instance as most recently listed.
   *
   * @return the instance
   */
  public Instance instance() {
    return instance;
  }

  void setInstance(Instance newest) {
    instance = newest;
  }

  /**
   * Marks the instance as leaving because another process responded at its address. If the list
   * does not confirm it within {@link #LEAVING_CONFIRMATION_TIME}, the response came from a wrong
   * connection, and the mark expires.
   */
  public void markMisdirected() {
    leavingUntil = Deadline.after(clock, LEAVING_CONFIRMATION_TIME);
  }

  /**
   * Marks the instance as leaving because it has announced so itself.
   *
   * @return whether it was not marked before
   */
  public boolean markLeaving() {
    boolean isNew = !hasAnnouncedLeaving;
    hasAnnouncedLeaving = true;
    return isNew;
  }

  /**
   * Returns whether the list or a response marks the instance as leaving.
   *
   * @return whether it must not get new requests
   */
  public boolean isLeaving() {
    Deadline until = leavingUntil;
    return instance.leaving() || hasAnnouncedLeaving || (until != null && !until.isReached(clock));
  }

  boolean isCold() {
    return instance.warmAt().isPresent() && !instance.warmAt().get().isReached(clock);
  }

  /**
   * Adds an attempt of this VM.
   *
   * @return monotonic start time, which identifies the attempt
   */
  public long startAttempt() {
    snapshot =
        new Reservation.SelectionSnapshot(
            failureProbability(),
            Math.round(secondsSinceResponse() * 1_000),
            attemptsInFlight() + 1);
    long started = clock.monotonicNanos();
    ownStartTimes.add(started);
    return started;
  }

  /**
   * Returns the state of the instance when the latest attempt of this VM started.
   *
   * @return the snapshot
   */
  public Reservation.SelectionSnapshot latestSnapshot() {
    return snapshot;
  }

  /**
   * Removes an attempt of this VM.
   *
   * @param startedNanos start time returned by {@link #startAttempt}
   */
  public void endAttempt(long startedNanos) {
    ownStartTimes.remove(Long.valueOf(startedNanos));
  }

  /**
   * Returns the start times of the attempts in flight of this VM.
   *
   * @return monotonic times
   */
  public List<Long> ownStartTimes() {
    return ownStartTimes;
  }

  /**
   * Returns how many attempts of this VM are in flight.
   *
   * @return slots in use
   */
  public int slotsInUse() {
    return ownStartTimes.size();
  }

  void putPeerAttempts(VmId peer, PeerAttempts attempts) {
    peerAttempts.put(peer, attempts);
  }

  void removePeerAttempts(VmId peer) {
    peerAttempts.remove(peer);
  }

  /** Returns the VMs that this instance is assigned to. */
  List<VmId> assignedVms(SubsetAssignment subsets, int count) {
    if (assignmentVersion != subsets.version()) {
      assignmentOrder = subsets.assignmentOrder(instance.id());
      assignmentVersion = subsets.version();
    }
    return assignmentOrder.subList(0, Math.min(count, assignmentOrder.size()));
  }

  /** Returns the number of attempts in flight of this VM and of the peers that report theirs. */
  int attemptsInFlight() {
    int attemptsInFlight = ownStartTimes.size();
    if (!peerAttempts.isEmpty()) {
      peerAttempts.values().removeIf(attempts -> attempts.validUntil().isReached(clock));
      for (PeerAttempts attempts : peerAttempts.values()) {
        attemptsInFlight += attempts.startedNanos().size();
      }
    }
    return attemptsInFlight;
  }

  /**
   * Excludes the instance from selection for a time; a shorter time does not end it early.
   *
   * @param until when it can be selected again
   */
  public void pauseUntil(Deadline until) {
    Deadline paused = pausedUntil;
    if (paused == null || paused.compareTo(until) < 0) {
      pausedUntil = until;
    }
  }

  boolean hasNoFreeSlot(int slots) {
    Deadline paused = pausedUntil;
    return attemptsInFlight() >= slots || (paused != null && !paused.isReached(clock));
  }

  /**
   * Records the outcome of an attempt of this VM, which is also evidence about its network path.
   *
   * @param kind how it ended
   * @param millis its duration in milliseconds
   */
  public void recordOwnOutcome(AttemptOutcome.Kind kind, double millis) {
    double ratio = likelihoodRatio(kind, millis);
    pathFailure.update(ratio, clock);
    recordOutcome(kind, millis, ratio);
    connectedUntil =
        kind == AttemptOutcome.Kind.SUCCESS ? Deadline.after(clock, CONNECTION_IDLE_LIMIT) : null;
  }

  /** Returns whether this VM probably has an idle connection to the instance. */
  boolean isConnected() {
    Deadline until = connectedUntil;
    return until != null && !until.isReached(clock);
  }

  /**
   * Records the outcome of an attempt of another VM.
   *
   * @param peer the other VM
   * @param kind how it ended
   * @param millis its duration in milliseconds
   */
  public void recordPeerOutcome(VmId peer, AttemptOutcome.Kind kind, double millis) {
    double ratio = likelihoodRatio(kind, millis);
    recordOutcome(kind, millis, ratio > 1 ? peerFailures.temper(peer, ratio) : ratio);
  }

  private void recordOutcome(AttemptOutcome.Kind kind, double millis, double ratio) {
    instanceFailure.update(ratio, clock);
    if (kind == AttemptOutcome.Kind.SUCCESS) {
      latency.add(millis);
      lastResponseNanos = clock.monotonicNanos();
    }
  }

  private double likelihoodRatio(AttemptOutcome.Kind kind, double millis) {
    return LikelihoodRatios.ofOutcome(kind, latency.deviations(millis), latency.survival(millis));
  }

  double secondsSinceResponse() {
    return (clock.monotonicNanos() - lastResponseNanos) / (NANOS_PER_MILLI * 1000);
  }

  /**
   * Returns the probability that an attempt of this VM fails, due to the instance or the network
   * path.
   *
   * @return 0 to 1
   */
  public double failureProbability() {
    long now = clock.monotonicNanos();
    double instanceFailing = instanceFailure.probability(clock);
    double pathFailing = pathFailure.probability(clock);
    int weighted = 0;
    for (int i = 0;
        i < ownStartTimes.size() && weighted < MAXIMUM_PENDING_EVIDENCE;
        i++, weighted++) {
      double likelihoodRatio = pendingRatio(now - ownStartTimes.get(i));
      instanceFailing = FailureEstimate.posterior(instanceFailing, likelihoodRatio);
      pathFailing = FailureEstimate.posterior(pathFailing, likelihoodRatio);
    }
    for (PeerAttempts attempts : peerAttempts.values()) {
      for (long started : attempts.startedNanos()) {
        if (weighted++ < MAXIMUM_PENDING_EVIDENCE) {
          instanceFailing = FailureEstimate.posterior(instanceFailing, pendingRatio(now - started));
        }
      }
    }
    return 1 - (1 - instanceFailing) * (1 - pathFailing);
  }

  private double pendingRatio(long ageNanos) {
    double likelihoodRatio =
        LikelihoodRatios.ofPendingAttempt(latency.survival(ageNanos / NANOS_PER_MILLI));
    // A recent attempt is no evidence yet; rounding must not lower its ratio below 1.
    return Math.max(1, likelihoodRatio);
  }
}
