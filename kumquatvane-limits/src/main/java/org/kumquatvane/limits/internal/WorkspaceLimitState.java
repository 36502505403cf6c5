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
 * Bucket, leases and waiting requests of one workspace at this VM. Not thread-safe.
 *
 * <p>The bucket follows the fraction {@code owned - lent + borrowed}. Every change is applied to
 * the bucket at the moment it took effect, so a bucket that was not touched for a while never
 * refills with a fraction that had already ended.
 */
public final class WorkspaceLimitState {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final double MIN_USEFUL_CAPACITY = 4;
  private static final double DEMAND_HEADROOM_FACTOR = 1.2;
  private static final double MIN_DEMAND_PER_SECOND = 0.5;
  private static final long MIN_SUBLEASE_NANOS = 200_000_000L;
  private static final long MIN_REFUSAL_NANOS = 5_000_000L;
  private static final long MAX_REFUSAL_NANOS = 160_000_000L;
  private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

  /** Longer than any answer to a token request is awaited. */
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
   * Creates an account whose bucket is filled from what was owned since the rate came into force.
   *
   * @param workspace the workspace
   * @param effectiveRate its rate
   * @param tracker the owned fraction, already observed
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
   * Brings the bucket up to date.
   *
   * @param nowNanos monotonic time
   */
  public void advanceTo(long nowNanos) {
    if (tracker.historyStart() - advancedToNanos > 0) {
      // Which fraction was owned until then is forgotten, so none is assumed.
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
    // Negative only after a pause dropped a fraction that is still lent on.
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
   * Puts a new rate in force at once, also for borrowed fractions and tokens in the bucket.
   *
   * @param newRate the rate
   */
  public void changeRate(RateLimit newRate) {
    rate = newRate;
    resize();
  }

  /** Drops tokens and borrowed fractions; what is lent stays lent until its deadlines. */
  public void dropTokensAndLeases() {
    borrowed.clear();
    bucket.clear();
    resize();
  }

  /**
   * Takes one token for a request at this VM.
   *
   * @return whether there was one
   */
  public boolean tryConsumeOne() {
    return bucket.tryConsume(1, advancedToNanos);
  }

  /**
   * Takes up to a number of tokens for another VM and keeps them counted until a deadline.
   *
   * @param wanted wanted tokens
   * @param holdUntilNanos when the last of them is spent or lost
   * @return the tokens taken
   */
  public int takeForBorrower(int wanted, long holdUntilNanos) {
    // A fraction that ends or is lent before the tokens are spent would be counted twice.
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
   * Lends a fraction that is certain to stay until a deadline. If most of it is borrowed itself,
   * the deadline lies before the end of the first borrowed lease.
   *
   * @param borrower the VM that asked
   * @param requestId number of its request; one that is not newer is ignored
   * @param wanted largest total fraction for the borrower
   * @param validNanos longest time on the borrower's clock
   * @param kept fraction that this VM keeps for its own requests
   * @return what was lent
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
      if (end - advancedToNanos > MIN_SUBLEASE_NANOS) {
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

  /** The fraction behind tokens that were granted to others and may still be unspent. */
  private double outstandingFraction() {
    double tokens = outstandingTokensAt(advancedToNanos);
    return tokens > 0 && rate.burstRequests() > 0 ? tokens / rate.burstRequests() : 0;
  }

  /** The least that is left for one borrower at any moment until the deadline. */
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
   * Checks that the lent total was there. After a pause dropped what is still lent on, the books
   * stay short until those leases end, which is no new lending; so a moment counts only if the
   * borrower did not hold more before.
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
   * Records a fraction that another VM lent.
   *
   * @param lender the lender
   * @param fraction total fraction held from it
   * @param tokens tokens that came along
   * @param untilNanos the borrower's own deadline
   */
  public void addBorrowed(VmId lender, double fraction, double tokens, long untilNanos) {
    borrowed.add(lender, fraction, untilNanos);
    resize();
    bucket.add(tokens, advancedToNanos);
  }

  /**
   * Tells whether the account can be rebuilt later without gaining a token.
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

  /** Notes that a request of the workspace was seen. */
  public void markUsed() {
    lastUsedNanos = advancedToNanos;
  }

  /**
   * Returns the time until a number of tokens is there.
   *
   * @param tokens number of tokens
   * @return nanoseconds, {@code Long.MAX_VALUE} if never
   */
  public long nanosUntil(int tokens) {
    return bucket.nanosUntilAvailable(tokens, advancedToNanos);
  }

  /**
   * Returns the fraction for a demand, or nothing if its bucket would seldom hold a token.
   *
   * @param perSecond requests a second
   * @return the fraction
   */
  public double usefulFraction(double perSecond) {
    if (perSecond < MIN_DEMAND_PER_SECOND || rate.requestsPerSecond() <= 0) {
      return 0;
    }
    double fraction = perSecond * DEMAND_HEADROOM_FACTOR / rate.requestsPerSecond();
    return fraction * rate.burstRequests() < MIN_USEFUL_CAPACITY ? 0 : fraction;
  }

  /**
   * Returns the fraction that is usable now.
   *
   * @return owned and borrowed, without what is lent
   */
  public double usableFraction() {
    return usableFractionAt(advancedToNanos);
  }

  /**
   * Returns the workspace.
   *
   * @return its name
   */
  public WorkspaceId workspace() {
    return workspace;
  }

  /**
   * Returns what one VM has lent to this one.
   *
   * @param lender the lender
   * @return the fraction that counts now
   */
  public double borrowedFrom(VmId lender) {
    return borrowed.fractionAt(lender, advancedToNanos);
  }

  /**
   * Tells a new token request from a doubled one.
   *
   * @param borrower the VM that asked
   * @param requestId number of its request
   * @return false if the request was seen within the last seconds
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
   * Returns requests for tokens that wait at this VM, in order of arrival.
   *
   * @return the live queue
   */
  public Deque<QueuedTokenRequest> tokenQueue() {
    return tokenQueue;
  }

  /**
   * Returns requests at this VM that wait until another VM can be asked, in order of arrival.
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

  /** Notes that a lease round starts. */
  public void markRoundStarted() {
    lastRoundNanos = advancedToNanos;
  }

  /**
   * Returns until when requests are refused without asking again.
   *
   * @return monotonic time
   */
  public long refusedUntilNanos() {
    return refusedUntilNanos;
  }

  /** Asks no other VM for a while, longer after each refusal in a row. */
  public void increaseRefusalBackoff() {
    refusalBackoffNanos =
        Math.min(MAX_REFUSAL_NANOS, Math.max(MIN_REFUSAL_NANOS, refusalBackoffNanos * 2));
    refusedUntilNanos = advancedToNanos + refusalBackoffNanos;
  }

  /** Asks other VMs again, since one had a token. */
  public void resetRefusalBackoff() {
    refusalBackoffNanos = 0;
  }

  /**
   * Returns each of some VMs in turn.
   *
   * @param vms the VMs
   * @return the next one, or null if there is none
   */
  public @Nullable VmId nextRoundRobin(List<VmId> vms) {
    return vms.isEmpty() ? null : vms.get(Math.floorMod(roundRobinIndex++, vms.size()));
  }

  /**
   * Returns the VMs in the order in which they collect this workspace's shares.
   *
   * @param vms the VMs of the view or the list
   * @return their names, the collector first
   */
  public List<VmId> collectorOrder(List<Vm> vms) {
    if (!collectorOrderSource.equals(vms)) {
      collectorOrderSource = vms;
      collectorOrder = Rendezvous.order(workspace.value(), vms).stream().map(Vm::id).toList();
    }
    return collectorOrder;
  }

  /**
   * Keeps the number of timers small: one is enough if it comes no later.
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
   * Limits how often this VM asks for a lease of its own.
   *
   * @param intervalNanos shortest time between two requests
   * @return whether to ask now
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
   * What was lent.
   *
   * @param fraction total fraction of the borrower
   * @param tokens tokens that move with it
   * @param validNanos how long the borrower holds it, counted from the sending of its request
   */
  public record LendResult(double fraction, double tokens, long validNanos) {
    static final LendResult NOTHING = new LendResult(0, 0, 0);
  }

  private record TokenRequestKey(VmId borrower, long requestId) {}

  private record OutstandingGrant(int count, long untilNanos) {}
}
