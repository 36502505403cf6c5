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
 * The promises that this VM has given and received. Guarded by the membership lock.
 *
 * <p>Safety: this VM promises one view at a time and changes it only after every promise that it
 * gave for the earlier one has expired. Two views of more than half of all VMs share a member, and
 * that member's promise excludes one of them.
 */
public final class PromiseTracker {
  /** Clocks of two VMs run apart by at most one part in this many. */
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
   * Creates a book without promises.
   *
   * <p>A process that has just started may replace one that gave promises shortly before it ended,
   * so it gives none until those have expired.
   *
   * @param clock clock of this VM
   * @param self this VM
   * @param promiseDuration how long a promise lasts
   */
  public PromiseTracker(Clock clock, VmId self, Duration promiseDuration) {
    this.clock = clock;
    this.self = self;
    this.promiseDuration = promiseDuration;
    promisedUntilNanos = clock.monotonicNanos() + driftAdjustedPromiseNanos();
    latestNonce = Long.hashCode(clock.epochMillis() * 0x9e3779b97f4a7c15L);
  }

  /**
   * Follows the candidate as far as earlier promises allow.
   *
   * @param candidate the view that this VM wants, null for none
   * @return whether this VM now promises another view than before
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
   * Returns when this VM may promise another view.
   *
   * @return end of all promises that bind this VM, its own use of the held view included
   */
  public Deadline nextChangeAllowedAt() {
    long confirmedUntil = confirmedView().map(ConfirmedView::untilNanos).orElse(promisedUntilNanos);
    return new Deadline(
        promisedUntilNanos - confirmedUntil >= 0 ? promisedUntilNanos : confirmedUntil);
  }

  /**
   * Returns the digest of the view that this VM promises at this moment.
   *
   * @return the digest, {@link ViewDigest#NONE} without one
   */
  public long promisedDigest() {
    CandidateView current = promised;
    return current == null || changePending ? ViewDigest.NONE : current.digest();
  }

  /**
   * Gives a promise if the asked view is the promised one.
   *
   * @param requester the VM that asks
   * @param digest the view that it asks for
   * @return the promised view, {@link ViewDigest#NONE} without a promise
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
   * Starts a round of heartbeats; promises that answer it count from now.
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
   * Returns the nonce for a heartbeat outside a round. Reusing the latest one counts the promise
   * from the earlier start of that round, which is never too long.
   *
   * @return nonce of the latest round
   */
  public int latestNonce() {
    return latestNonce;
  }

  /**
   * Notes a promise of another VM.
   *
   * @param sender the VM
   * @param nonce nonce of the answered heartbeat
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
   * Tells whether a VM's promise for the promised view is known and still holds.
   *
   * @param vm the VM
   * @return whether it holds
   */
  public boolean hasPromiseOf(VmId vm) {
    ReceivedPromise promiseOfVm = received.get(vm);
    return promiseOfVm != null
        && promiseOfVm.digest == promisedDigest()
        && clock.monotonicNanos() - promiseOfVm.untilNanos < 0;
  }

  /**
   * Returns the view that all members promise.
   *
   * @return the view and its end, or empty
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

  /** Forgets received promises and open rounds, whose age is uncertain after a pause. */
  public void discardReceivedPromises() {
    received.clear();
    rounds.clear();
  }

  private long driftAdjustedPromiseNanos() {
    return promiseDuration.toNanos() + promiseDuration.toNanos() / CLOCK_DRIFT_DIVISOR;
  }

  /**
   * A view that all members promise.
   *
   * @param view the view
   * @param untilNanos monotonic time at which the first promise ends
   * @param untilEpochMillis wall-clock time at which the first promise ends; catches a pause in
   *     which the monotonic clock stood still
   */
  public record ConfirmedView(CandidateView view, long untilNanos, long untilEpochMillis) {}

  private record ReceivedPromise(long digest, long untilNanos, long untilEpochMillis) {}

  private record Round(long digest, long untilNanos, long untilEpochMillis) {}
}
