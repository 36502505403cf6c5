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

/** What this VM knows of one instance. Guarded by the pool's lock. */
public final class InstanceState {
  /** Share of instances in a failing spell at any time that the users state: about a third. */
  private static final double UNKNOWN_INSTANCE = 0.3;

  /** Failing spells last a few seconds and come every ten or so. */
  private static final double INSTANCE_MEMORY_SECONDS = 2.1;

  /** Paths of this VM fail far less often than instances. */
  private static final double UNKNOWN_PATH = 0.05;

  private static final double PATH_MEMORY_SECONDS = 4;

  /** Waiting attempts are correlated; more than a few of them add no evidence. */
  private static final int WEIGHED_WAITING = 3;

  /** Entries of instances that are gone lapse after three heartbeats of 1.5 s. */
  private static final Duration CONFIRMATION = Duration.ofSeconds(5);

  private static final double NANOS_PER_MILLI = 1e6;

  private final Clock clock;
  private final ServiceLatency latency;
  private final Suspicion fleet;
  private final Suspicion path;
  private final List<Long> own = new ArrayList<>();
  private final Map<VmId, PeerAttempts> peers = new HashMap<>();
  private Instance instance;
  private @Nullable Deadline leavingUntil;
  private @Nullable Deadline fullUntil;
  private Reservation.Basis basis = Reservation.Basis.NONE;
  private long lastAnswerNanos;
  private List<VmId> sharingOrder = List.of();
  private int sharingVersion = -1;

  InstanceState(Instance instance, ServiceLatency latency, Clock clock) {
    this.instance = instance;
    this.latency = latency;
    this.clock = clock;
    long now = clock.monotonicNanos();
    fleet = new Suspicion(UNKNOWN_INSTANCE, INSTANCE_MEMORY_SECONDS, now);
    path = new Suspicion(UNKNOWN_PATH, PATH_MEMORY_SECONDS, now);
    lastAnswerNanos = now;
  }

  /**
   * Returns the instance as listed last.
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
   * Marks the instance as leaving because an answer from its address said so. The list confirms it
   * within {@link #CONFIRMATION}; otherwise the answer was wrong or meant something else.
   */
  public void sayLeaving() {
    leavingUntil = Deadline.after(clock, CONFIRMATION);
  }

  /**
   * Tells whether any source says that the instance leaves.
   *
   * @return whether it must get no new request
   */
  public boolean isLeaving() {
    Deadline until = leavingUntil;
    return instance.leaving() || (until != null && !until.isReached(clock));
  }

  boolean isCold() {
    return instance.warmAt().isPresent() && !instance.warmAt().get().isReached(clock);
  }

  /**
   * Counts an attempt of this VM.
   *
   * @return monotonic time of its start, which identifies it
   */
  public long start() {
    basis =
        new Reservation.Basis(
            failureProbability(), Math.round(secondsSinceAnswer() * 1_000), load() + 1);
    long started = clock.monotonicNanos();
    own.add(started);
    return started;
  }

  /**
   * Returns what was known when the newest attempt of this VM was started.
   *
   * @return the basis of its choice
   */
  public Reservation.Basis basisOfLastStart() {
    return basis;
  }

  /**
   * Removes an attempt of this VM.
   *
   * @param startedNanos what {@link #start} returned
   */
  public void end(long startedNanos) {
    own.remove(Long.valueOf(startedNanos));
  }

  /**
   * Returns the attempts of this VM.
   *
   * @return monotonic times of their starts
   */
  public List<Long> ownAttempts() {
    return own;
  }

  /**
   * Returns how many attempts of this VM are in flight.
   *
   * @return slots in use
   */
  public int slotsInUse() {
    return own.size();
  }

  void putPeer(VmId peer, PeerAttempts attempts) {
    peers.put(peer, attempts);
  }

  void removePeer(VmId peer) {
    peers.remove(peer);
  }

  /** Returns the first VMs in the order in which they share this instance. */
  List<VmId> sharedBy(Sharers sharers, int count) {
    if (sharingVersion != sharers.version()) {
      sharingOrder = sharers.order(instance.id());
      sharingVersion = sharers.version();
    }
    return sharingOrder.subList(0, Math.min(count, sharingOrder.size()));
  }

  /** Returns the attempts in flight of all VMs that share theirs. */
  int load() {
    int load = own.size();
    if (!peers.isEmpty()) {
      peers.values().removeIf(attempts -> attempts.validUntil().isReached(clock));
      for (PeerAttempts attempts : peers.values()) {
        load += attempts.startedNanos().size();
      }
    }
    return load;
  }

  /**
   * Keeps requests away for a while.
   *
   * @param until when the instance counts as free again
   */
  public void refuseFor(Deadline until) {
    fullUntil = until;
  }

  boolean isFull(int slots) {
    Deadline refused = fullUntil;
    return load() >= slots || (refused != null && !refused.isReached(clock));
  }

  /**
   * Takes note of an attempt of this VM, which says something of the path as well.
   *
   * @param kind how it ended
   * @param millis its length in milliseconds
   */
  public void observeOwn(AttemptOutcome.Kind kind, double millis) {
    path.update(ratio(kind, millis), clock);
    observe(kind, millis);
  }

  /**
   * Takes note of an attempt of another VM.
   *
   * @param kind how it ended
   * @param millis its length in milliseconds
   */
  public void observe(AttemptOutcome.Kind kind, double millis) {
    fleet.update(ratio(kind, millis), clock);
    if (kind == AttemptOutcome.Kind.SUCCESS) {
      latency.add(millis);
      lastAnswerNanos = clock.monotonicNanos();
    }
  }

  private double ratio(AttemptOutcome.Kind kind, double millis) {
    return Evidence.ofOutcome(kind, latency.deviations(millis), latency.survival(millis));
  }

  double secondsSinceAnswer() {
    return (clock.monotonicNanos() - lastAnswerNanos) / (NANOS_PER_MILLI * 1000);
  }

  /**
   * Returns the probability that an attempt of this VM gets no proper answer.
   *
   * @return 0 to 1
   */
  public double failureProbability() {
    long now = clock.monotonicNanos();
    double bad = fleet.probability(clock);
    double badPath = path.probability(clock);
    int weighed = 0;
    for (int i = 0; i < own.size() && weighed < WEIGHED_WAITING; i++, weighed++) {
      double ratio = waitingRatio(now - own.get(i));
      bad = Suspicion.weigh(bad, ratio);
      badPath = Suspicion.weigh(badPath, ratio);
    }
    for (PeerAttempts attempts : peers.values()) {
      for (long started : attempts.startedNanos()) {
        if (weighed++ < WEIGHED_WAITING) {
          bad = Suspicion.weigh(bad, waitingRatio(now - started));
        }
      }
    }
    return 1 - (1 - bad) * (1 - badPath);
  }

  private double waitingRatio(long ageNanos) {
    double ratio = Evidence.ofWaiting(latency.survival(ageNanos / NANOS_PER_MILLI));
    // A young attempt says nothing yet; its ratio is 1 up to rounding.
    return Math.max(1, ratio);
  }
}
