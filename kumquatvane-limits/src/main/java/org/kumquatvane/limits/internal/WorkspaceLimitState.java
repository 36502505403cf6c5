package org.kumquatvane.limits.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.limits.LeaseSettings;
import org.kumquatvane.limits.TokenBucket;
import org.kumquatvane.membership.Rendezvous;
import org.kumquatvane.membership.Vm;

/**
 * Token bucket, leases and waiting requests of one workspace at this VM. Not thread-safe.
 *
 * <p>The bucket follows the fraction {@code owned - lent + borrowed}. Every change is applied to
 * the bucket as of the time it took effect, so that an idle bucket is never refilled with a
 * fraction that has already ended.
 */
public final class WorkspaceLimitState {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final double MINIMUM_USEFUL_CAPACITY = 4;
  private static final double DEMAND_HEADROOM_FACTOR = 1.2;
  private static final double MINIMUM_DEMAND_PER_SECOND = 0.5;
  private static final long MINIMUM_SUBLEASE_NANOS = 200_000_000L;
  private static final long MINIMUM_REFUSAL_NANOS = 5_000_000L;
  private static final long MAXIMUM_REFUSAL_NANOS = 160_000_000L;
  private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

  /**
   * Period in which duplicate token requests are detected; longer than the timeout of any request.
   */
  private static final long DUPLICATE_WINDOW_NANOS = 1_000_000_000L;

  private final WorkspaceId workspace;
  private final ShareTracker tracker;
  private final InvariantMonitor monitor;
  private final TokenBucket bucket;
  private final LeaseSet lent = new LeaseSet();
  private final LeaseSet borrowed = new LeaseSet();
  private final List<OutstandingGrant> outstandingGrants = new ArrayList<>();
  private final Map<VmId, Long> newestLeaseRequest = new HashMap<>();
  private final Map<TokenRequestKey, Long> recentTokenRequests = new LinkedHashMap<>();
  private final Deque<QueuedTokenRequest> tokenQueue = new ArrayDeque<>();
  private final Deque<WaitingRequest> backlog = new ArrayDeque<>();
  private final DemandEstimate demand = new DemandEstimate();
  private RateLimit rate;
  private long advancedToNanos;
  private long lastUsedNanos;
  private long lastRoundNanos;
  private long refusedUntilNanos;
  private long refusalBackoffNanos;
  private int roundRobinIndex;
  private long lastLeaseRequestNanos;
  private long timerNanos;
  private List<Vm> collectorOrderSource = List.of();
  private List<VmId> collectorOrder = List.of();
  private int tokenRequestsInFlight;

  /**
   * Creates a state whose bucket is refilled with the fraction owned since the rate took effect.
   *
   * @param workspace the workspace
   * @param effectiveRate rate of the workspace
   * @param tracker tracker of the owned fraction, already updated
   * @param monitor receives violations
   * @param nowNanos monotonic time
   */
  public WorkspaceLimitState(
      WorkspaceId workspace,
      EffectiveRate effectiveRate,
      ShareTracker tracker,
      InvariantMonitor monitor,
      long nowNanos) {
    this.workspace = workspace;
    this.tracker = tracker;
    this.monitor = monitor;
    rate = effectiveRate.rate();
    advancedToNanos = Math.max(effectiveRate.sinceNanos(), tracker.historyStart());
    bucket = new TokenBucket(rate, tracker.ownedAt(advancedToNanos), advancedToNanos);
    lastUsedNanos = nowNanos;
    lastRoundNanos = nowNanos - IDLE_TIMEOUT_NANOS;
    refusedUntilNanos = nowNanos;
    lastLeaseRequestNanos = lastRoundNanos;
    timerNanos = nowNanos;
    advanceTo(nowNanos);
  }

  /**
   * Refills the bucket up to a time.
   *
   * @param nowNanos monotonic time
   */
  public void advanceTo(long nowNanos) {
    if (tracker.historyStart() - advancedToNanos > 0) {
      // The fraction owned before the history starts is unknown, so none is assumed.
      bucket.resize(rate, 0, 0, advancedToNanos);
    }
    List<Long> changeTimes = new ArrayList<>(tracker.changesBetween(advancedToNanos, nowNanos));
    if (!lent.isEmpty()) {
      changeTimes.addAll(lent.endTimes());
    }
    if (!borrowed.isEmpty()) {
      changeTimes.addAll(borrowed.endTimes());
    }
    outstandingGrants.forEach(tokens -> changeTimes.add(tokens.untilNanos));
    changeTimes.removeIf(
        changeTime -> changeTime - advancedToNanos <= 0 || changeTime - nowNanos > 0);
    if (!changeTimes.isEmpty()) {
      Collections.sort(changeTimes);
      for (long changeTime : changeTimes) {
        bucket.resize(
            rate, usableFractionAt(changeTime), outstandingTokensAt(changeTime), changeTime);
      }
      lent.removeEnded(nowNanos);
      borrowed.removeEnded(nowNanos);
      outstandingGrants.removeIf(tokens -> tokens.untilNanos - nowNanos <= 0);
    }
    advancedToNanos = nowNanos;
  }

  private double usableFractionAt(long nanos) {
    double usable = tracker.ownedAt(nanos) + borrowed.totalAt(nanos) - lent.totalAt(nanos);
    // Negative only if a pause dropped a fraction that is still lent to another VM.
    return Math.max(0, usable);
  }

  private double outstandingTokensAt(long nanos) {
    double total = 0;
    for (OutstandingGrant tokens : outstandingGrants) {
      total += tokens.untilNanos - nanos > 0 ? tokens.count : 0;
    }
    return total;
  }

  private void resize() {
    bucket.resize(
        rate,
        usableFractionAt(advancedToNanos),
        outstandingTokensAt(advancedToNanos),
        advancedToNanos);
  }

  /**
   * Applies a new rate at once, also to borrowed fractions and tokens in the bucket.
   *
   * @param newRate the rate
   */
  public void changeRate(RateLimit newRate) {
    rate = newRate;
    resize();
  }

  /** Drops tokens and borrowed fractions; lent fractions stay lent until their leases end. */
  public void dropTokensAndLeases() {
    borrowed.clear();
    bucket.clear();
    resize();
  }

  /**
   * Consumes one token for a request at this VM.
   *
   * @return whether one was available
   */
  public boolean tryConsumeOne() {
    return bucket.tryConsume(1, advancedToNanos);
  }

  /**
   * Takes up to a number of tokens for another VM and counts them as outstanding until a deadline.
   *
   * @param wanted wanted tokens
   * @param holdUntilNanos time by which all of them are spent or lost
   * @return the tokens taken
   */
  public int takeForBorrower(int wanted, long holdUntilNanos) {
    // A fraction that ends or is lent before its tokens are spent would be counted twice.
    double grantable =
        guaranteedCapacity(holdUntilNanos)
            - outstandingTokensAt(advancedToNanos)
            + ROUNDING_TOLERANCE;
    int taken = 0;
    while (taken < wanted && taken + 1 <= grantable && bucket.tryConsume(1, advancedToNanos)) {
      taken++;
    }
    if (taken > 0) {
      outstandingGrants.add(new OutstandingGrant(taken, holdUntilNanos));
      resize();
    }
    return taken;
  }

  /**
   * Lends a fraction that is guaranteed until a deadline. If most of it is itself borrowed, the
   * lease ends before the first borrowed lease.
   *
   * @param borrower the requesting VM
   * @param requestId id of its request; a request that is not newer than the last one is ignored
   * @param wanted largest total fraction for the borrower
   * @param validNanos longest validity of the lease on the borrower's clock
   * @param kept fraction that this VM reserves for its own requests
   * @return the lent fraction and tokens
   */
  public LendResult lend(
      VmId borrower, long requestId, double wanted, long validNanos, double kept) {
    Long newest = newestLeaseRequest.get(borrower);
    if (newest != null && newest >= requestId) {
      return LendResult.NOTHING;
    }
    newestLeaseRequest.put(borrower, requestId);
    return lend(borrower, wanted, validNanos, kept);
  }

  private LendResult lend(VmId borrower, double wanted, long validNanos, double needed) {
    double kept = Math.max(needed, outstandingFraction());
    long untilNanos = advancedToNanos + LeaseSettings.extendForDrift(validNanos);
    long shorterUntilNanos = untilNanos;
    for (long end : borrowed.endTimes()) {
      if (end - advancedToNanos > MINIMUM_SUBLEASE_NANOS) {
        shorterUntilNanos = Math.min(shorterUntilNanos, end);
      }
    }
    double total = Math.min(wanted, lendableFraction(borrower, untilNanos) - kept);
    double shorterTotal = Math.min(wanted, lendableFraction(borrower, shorterUntilNanos) - kept);
    if (shorterTotal > 2 * total) {
      untilNanos = shorterUntilNanos;
      total = shorterTotal;
    }
    if (total <= ROUNDING_TOLERANCE) {
      return LendResult.NOTHING;
    }
    long borrowerNanos =
        Math.min(validNanos, LeaseSettings.shortenForDrift(untilNanos - advancedToNanos));
    double alreadyLent = lent.fractionAt(borrower, advancedToNanos);
    double usableBefore = usableFractionAt(advancedToNanos);
    double added = Math.max(0, total - alreadyLent);
    double tokens =
        usableBefore <= 0
            ? 0
            : bucket.availableTokens(advancedToNanos) * Math.min(1, added / usableBefore);
    double maximum = lendableFraction(borrower, untilNanos);
    lent.add(borrower, total, untilNanos);
    checkRateConserved(borrower, maximum, untilNanos);
    bucket.tryConsume(Math.max(0, tokens - ROUNDING_TOLERANCE), advancedToNanos);
    resize();
    return new LendResult(total, Math.max(0, tokens - 2 * ROUNDING_TOLERANCE), borrowerNanos);
  }

  private double guaranteedCapacity(long untilNanos) {
    double least = Double.MAX_VALUE;
    for (long changeTime : changeTimesUntil(untilNanos)) {
      least = Math.min(least, uncommittedFractionAt(changeTime));
    }
    return Math.max(0, least) * rate.burstRequests();
  }

  /** Returns the fraction equivalent to tokens granted to other VMs that may still be unspent. */
  private double outstandingFraction() {
    double tokens = outstandingTokensAt(advancedToNanos);
    return tokens > 0 && rate.burstRequests() > 0 ? tokens / rate.burstRequests() : 0;
  }

  /** Returns the smallest fraction available to one borrower at any time until the deadline. */
  private double lendableFraction(VmId borrower, long untilNanos) {
    double least = Double.MAX_VALUE;
    for (long changeTime : changeTimesUntil(untilNanos)) {
      least =
          Math.min(
              least, uncommittedFractionAt(changeTime) + lent.fractionAt(borrower, changeTime));
    }
    return least;
  }

  private double uncommittedFractionAt(long nanos) {
    return tracker.guaranteedAt(nanos) + borrowed.totalAt(nanos) - lent.totalAt(nanos);
  }

  private List<Long> changeTimesUntil(long untilNanos) {
    List<Long> changeTimes = new ArrayList<>(tracker.guaranteeEnds());
    changeTimes.addAll(borrowed.endTimes());
    changeTimes.addAll(lent.endTimes());
    changeTimes.removeIf(
        changeTime -> changeTime - advancedToNanos <= 0 || changeTime - untilNanos >= 0);
    changeTimes.add(advancedToNanos);
    return changeTimes;
  }

  /**
   * Checks that the lent total is covered. After a pause dropped a fraction that is still lent, the
   * balance stays negative until those leases end, without any new lending. A time is therefore
   * checked only if the borrower did not already hold more.
   */
  private void checkRateConserved(VmId borrower, double maximum, long untilNanos) {
    for (long changeTime : changeTimesUntil(untilNanos)) {
      double left = uncommittedFractionAt(changeTime);
      boolean heldMoreBefore = lent.fractionAt(borrower, changeTime) > maximum + ROUNDING_TOLERANCE;
      monitor.check(
          Invariant.RATE_CONSERVED,
          left >= -ROUNDING_TOLERANCE || heldMoreBefore,
          "workspace=" + workspace + " lent more than owned and borrowed by " + -left);
    }
  }

  /**
   * Records a fraction borrowed from another VM.
   *
   * @param lender the lender
   * @param fraction total fraction held from it
   * @param tokens tokens transferred with it
   * @param untilNanos end of the lease on this VM's clock
   */
  public void addBorrowed(VmId lender, double fraction, double tokens, long untilNanos) {
    borrowed.add(lender, fraction, untilNanos);
    resize();
    bucket.add(tokens, advancedToNanos);
  }

  /**
   * Returns whether the state can be removed and rebuilt later without gaining a token.
   *
   * @return whether it is unused, full, and free of leases and waiting requests
   */
  public boolean isIdle() {
    return advancedToNanos - lastUsedNanos > IDLE_TIMEOUT_NANOS
        && lent.isEmpty()
        && borrowed.isEmpty()
        && outstandingGrants.isEmpty()
        && tokenQueue.isEmpty()
        && backlog.isEmpty()
        && tokenRequestsInFlight == 0
        && (bucket.isFull(advancedToNanos) || tracker.owned() == 0);
  }

  /** Records that a request of the workspace arrived. */
  public void markUsed() {
    lastUsedNanos = advancedToNanos;
  }

  /**
   * Returns the time until a number of tokens is available.
   *
   * @param tokens number of tokens
   * @return nanoseconds, {@code Long.MAX_VALUE} if never
   */
  public long nanosUntil(int tokens) {
    return bucket.nanosUntilAvailable(tokens, advancedToNanos);
  }

  /**
   * Returns the fraction for a demand, or 0 if its bucket would seldom hold a token.
   *
   * @param perSecond requests per second
   * @return the fraction
   */
  public double usefulFraction(double perSecond) {
    if (perSecond < MINIMUM_DEMAND_PER_SECOND || rate.requestsPerSecond() <= 0) {
      return 0;
    }
    double fraction = perSecond * DEMAND_HEADROOM_FACTOR / rate.requestsPerSecond();
    return fraction * rate.burstRequests() < MINIMUM_USEFUL_CAPACITY ? 0 : fraction;
  }

  /**
   * Returns the fraction that is usable now.
   *
   * @return owned and borrowed fractions minus lent fractions
   */
  public double usableFraction() {
    return usableFractionAt(advancedToNanos);
  }

  /**
   * Returns the workspace.
   *
   * @return its id
   */
  public WorkspaceId workspace() {
    return workspace;
  }

  /**
   * Returns the fraction borrowed from one VM.
   *
   * @param lender the lender
   * @return the fraction in effect now
   */
  public double borrowedFrom(VmId lender) {
    return borrowed.fractionAt(lender, advancedToNanos);
  }

  /**
   * Records a token request and detects duplicates.
   *
   * @param borrower the requesting VM
   * @param requestId id of its request
   * @return false if the request is a recent duplicate
   */
  public boolean isNewTokenRequest(VmId borrower, long requestId) {
    Iterator<Long> oldestFirst = recentTokenRequests.values().iterator();
    while (oldestFirst.hasNext() && advancedToNanos - oldestFirst.next() > DUPLICATE_WINDOW_NANOS) {
      oldestFirst.remove();
    }
    return recentTokenRequests.putIfAbsent(
            new TokenRequestKey(borrower, requestId), advancedToNanos)
        == null;
  }

  /**
   * Returns the rate in force.
   *
   * @return rate and burst across the fleet
   */
  public RateLimit rate() {
    return rate;
  }

  /**
   * Returns the demand at this VM.
   *
   * @return the estimate
   */
  public DemandEstimate demand() {
    return demand;
  }

  /**
   * Returns the token requests queued at this VM, in order of arrival.
   *
   * @return the live queue
   */
  public Deque<QueuedTokenRequest> tokenQueue() {
    return tokenQueue;
  }

  /**
   * Returns requests at this VM that wait until a token can be requested from another VM, in order
   * of arrival.
   *
   * @return the live queue
   */
  public Deque<WaitingRequest> backlog() {
    return backlog;
  }

  /**
   * Returns the start of the last lease round.
   *
   * @return monotonic time
   */
  public long lastRoundNanos() {
    return lastRoundNanos;
  }

  /** Records the start of a lease round. */
  public void markRoundStarted() {
    lastRoundNanos = advancedToNanos;
  }

  /**
   * Returns the time until which requests are refused without requesting tokens from other VMs.
   *
   * @return monotonic time
   */
  public long refusedUntilNanos() {
    return refusedUntilNanos;
  }

  /** Stops requesting tokens from other VMs for a while, with exponential backoff. */
  public void increaseRefusalBackoff() {
    refusalBackoffNanos =
        Math.min(MAXIMUM_REFUSAL_NANOS, Math.max(MINIMUM_REFUSAL_NANOS, refusalBackoffNanos * 2));
    refusedUntilNanos = advancedToNanos + refusalBackoffNanos;
  }

  /** Resets the refusal backoff after another VM granted tokens. */
  public void resetRefusalBackoff() {
    refusalBackoffNanos = 0;
  }

  /**
   * Selects VMs in round-robin order.
   *
   * @param vms the VMs
   * @return the next one, or null if there is none
   */
  public @Nullable VmId nextRoundRobin(List<VmId> vms) {
    return vms.isEmpty() ? null : vms.get(Math.floorMod(roundRobinIndex++, vms.size()));
  }

  /**
   * Returns the VMs in order of preference as collector of this workspace's shares.
   *
   * @param vms members of the agreed view or the listed VMs
   * @return their ids, the collector first
   */
  public List<VmId> collectorOrder(List<Vm> vms) {
    if (!collectorOrderSource.equals(vms)) {
      collectorOrderSource = vms;
      collectorOrder = Rendezvous.order(workspace.value(), vms).stream().map(Vm::id).toList();
    }
    return collectorOrder;
  }

  /**
   * Avoids redundant timers: a pending one that fires no later is sufficient.
   *
   * @param nanos monotonic time at which waiting requests are to be served
   * @return whether a timer is needed
   */
  public boolean needsTimerAt(long nanos) {
    if (timerNanos - advancedToNanos > 0 && timerNanos - nanos <= 0) {
      return false;
    }
    timerNanos = nanos;
    return true;
  }

  /**
   * Limits how often this VM requests a lease from the collector.
   *
   * @param intervalNanos shortest time between two requests
   * @return whether to request one now
   */
  public boolean mayRequestLease(long intervalNanos) {
    if (advancedToNanos - lastLeaseRequestNanos < intervalNanos) {
      return false;
    }
    lastLeaseRequestNanos = advancedToNanos;
    return true;
  }

  /**
   * Returns the number of unanswered token requests.
   *
   * @return requests in flight
   */
  public int tokenRequestsInFlight() {
    return tokenRequestsInFlight;
  }

  /**
   * Changes the number of unanswered token requests.
   *
   * @param change 1 or -1
   */
  public void addTokenRequestsInFlight(int change) {
    tokenRequestsInFlight += change;
  }

  /**
   * Result of lending a fraction.
   *
   * @param fraction total fraction of the borrower
   * @param tokens tokens transferred with it
   * @param validNanos validity of the lease, counted from the sending of the request
   */
  public record LendResult(double fraction, double tokens, long validNanos) {
    static final LendResult NOTHING = new LendResult(0, 0, 0);
  }

  private record TokenRequestKey(VmId borrower, long requestId) {}

  private record OutstandingGrant(int count, long untilNanos) {}
}
