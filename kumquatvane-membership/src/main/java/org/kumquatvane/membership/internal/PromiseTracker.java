package org.kumquatvane.membership.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.ViewDigest;

/**
 * Promises of views that this VM has made and received. Guarded by the membership lock.
 *
 * <p>Safety: this VM promises one view at a time, and promises another one only after all its
 * promises for the previous one have expired. Any two views that contain more than half of all VMs
 * share a member, and that member's promise rules out one of them.
 */
public final class PromiseTracker {
  /** The clocks of two VMs drift apart by at most one part in this many. */
  private static final long CLOCK_DRIFT_DIVISOR = 1_000;

  private final Clock clock;
  private final VmId self;
  private final Duration promiseDuration;
  private final Map<VmId, ReceivedPromise> received = new HashMap<>();
  private final Map<Integer, Round> rounds = new HashMap<>();
  private @Nullable CandidateView promised;
  private boolean changePending;
  private long promisedUntilNanos;
  private int latestNonce;

  /**
   * Creates a tracker without promises.
   *
   * <p>A new process may replace one that made promises shortly before it ended, so it makes none
   * until those have expired.
   *
   * @param clock clock of this VM
   * @param self this VM
   * @param promiseDuration duration of a promise
   */
  public PromiseTracker(Clock clock, VmId self, Duration promiseDuration) {
    this.clock = clock;
    this.self = self;
    this.promiseDuration = promiseDuration;
    promisedUntilNanos = clock.monotonicNanos() + driftAdjustedPromiseNanos();
    latestNonce = Long.hashCode(clock.epochMillis() * 0x9e3779b97f4a7c15L);
  }

  /**
   * Sets the view to promise, and starts to promise it once earlier promises allow.
   *
   * @param candidate the view, null for none
   * @return whether this VM now promises a different view
   */
  public boolean setCandidate(@Nullable CandidateView candidate) {
    CandidateView current = promised;
    if (current != null && candidate != null && current.digest() == candidate.digest()) {
      promised = candidate;
      changePending = false;
      return false;
    }
    changePending = current != null;
    if (!nextChangeAllowedAt().isReached(clock)) {
      return false;
    }
    received.clear();
    promised = candidate;
    changePending = false;
    return candidate != null;
  }

  /**
   * Returns the earliest time at which this VM may promise another view.
   *
   * @return end of all promises of this VM and of its own use of the confirmed view
   */
  public Deadline nextChangeAllowedAt() {
    long confirmedUntil = confirmedView().map(ConfirmedView::untilNanos).orElse(promisedUntilNanos);
    return new Deadline(
        promisedUntilNanos - confirmedUntil >= 0 ? promisedUntilNanos : confirmedUntil);
  }

  /**
   * Returns the digest of the view that this VM currently promises.
   *
   * @return the digest, {@link ViewDigest#NONE} if there is none
   */
  public long promisedDigest() {
    CandidateView current = promised;
    return current == null || changePending ? ViewDigest.NONE : current.digest();
  }

  /**
   * Makes a promise if the requested view is the one that this VM promises.
   *
   * @param requester the VM that requests the promise
   * @param digest the requested view
   * @return the promised view, {@link ViewDigest#NONE} if no promise is made
   */
  public long grantPromise(VmId requester, long digest) {
    CandidateView current = promised;
    if (current == null
        || changePending
        || digest != current.digest()
        || !current.contains(requester)) {
      return ViewDigest.NONE;
    }
    long until = clock.monotonicNanos() + driftAdjustedPromiseNanos();
    if (until - promisedUntilNanos > 0) {
      promisedUntilNanos = until;
    }
    return digest;
  }

  /**
   * Starts a round of heartbeats; promises in its replies count from now.
   *
   * @return nonce of the round
   */
  public int startRound() {
    long nowNanos = clock.monotonicNanos();
    rounds.values().removeIf(round -> nowNanos - round.untilNanos >= 0);
    Round round =
        new Round(
            promisedDigest(),
            nowNanos + promiseDuration.toNanos(),
            clock.epochMillis() + promiseDuration.toMillis());
    latestNonce++;
    rounds.put(latestNonce, round);
    if (round.digest != ViewDigest.NONE) {
      received.put(
          self, new ReceivedPromise(round.digest, round.untilNanos, round.untilEpochMillis));
    }
    return latestNonce;
  }

  /**
   * Returns the nonce for a heartbeat outside a round. Reusing the latest nonce counts the promise
   * from the earlier start of that round, so the promise is never assumed to last too long.
   *
   * @return nonce of the latest round
   */
  public int latestNonce() {
    return latestNonce;
  }

  /**
   * Records a promise of another VM.
   *
   * @param sender the VM
   * @param nonce nonce of the heartbeat that it replied to
   * @param digest the promised view
   */
  public void recordPromise(VmId sender, int nonce, long digest) {
    Round round = rounds.get(nonce);
    if (round == null || digest == ViewDigest.NONE || digest != round.digest) {
      return;
    }
    ReceivedPromise earlier = received.get(sender);
    if (earlier == null || earlier.digest != digest || round.untilNanos - earlier.untilNanos > 0) {
      received.put(sender, new ReceivedPromise(digest, round.untilNanos, round.untilEpochMillis));
    }
  }

  /**
   * Returns whether a VM's promise of the current view has been received and is still valid.
   *
   * @param vm the VM
   * @return whether the promise is valid
   */
  public boolean hasPromiseOf(VmId vm) {
    ReceivedPromise promiseOfVm = received.get(vm);
    return promiseOfVm != null
        && promiseOfVm.digest == promisedDigest()
        && clock.monotonicNanos() - promiseOfVm.untilNanos < 0;
  }

  /**
   * Returns the view that all its members have promised.
   *
   * @return the view and its expiry, or empty
   */
  public Optional<ConfirmedView> confirmedView() {
    CandidateView current = promised;
    if (current == null) {
      return Optional.empty();
    }
    long untilNanos = Long.MAX_VALUE;
    long untilEpochMillis = Long.MAX_VALUE;
    long nowNanos = clock.monotonicNanos();
    long shortestNanos = Long.MAX_VALUE;
    for (var member : current.members()) {
      ReceivedPromise promiseOfVm = received.get(member.id());
      if (promiseOfVm == null || promiseOfVm.digest != current.digest()) {
        return Optional.empty();
      }
      if (promiseOfVm.untilNanos - nowNanos < shortestNanos) {
        shortestNanos = promiseOfVm.untilNanos - nowNanos;
        untilNanos = promiseOfVm.untilNanos;
      }
      untilEpochMillis = Math.min(untilEpochMillis, promiseOfVm.untilEpochMillis);
    }
    return shortestNanos > 0 && clock.epochMillis() < untilEpochMillis
        ? Optional.of(new ConfirmedView(current, untilNanos, untilEpochMillis))
        : Optional.empty();
  }

  /** Discards received promises and open rounds, whose age is uncertain after a pause. */
  public void discardReceivedPromises() {
    received.clear();
    rounds.clear();
  }

  private long driftAdjustedPromiseNanos() {
    return promiseDuration.toNanos() + promiseDuration.toNanos() / CLOCK_DRIFT_DIVISOR;
  }

  /**
   * A view that all its members have promised.
   *
   * @param view the view
   * @param untilNanos monotonic time at which the first promise expires
   * @param untilEpochMillis wall-clock time at which the first promise expires; detects expiry
   *     after a pause in which the monotonic clock stopped
   */
  public record ConfirmedView(CandidateView view, long untilNanos, long untilEpochMillis) {}

  private record ReceivedPromise(long digest, long untilNanos, long untilEpochMillis) {}

  private record Round(long digest, long untilNanos, long untilEpochMillis) {}
}
