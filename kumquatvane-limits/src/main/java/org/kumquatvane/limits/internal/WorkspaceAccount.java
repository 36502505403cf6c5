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
public final class WorkspaceAccount {
  private static final double ROUNDING = 1e-9;
  private static final double SMALLEST_USEFUL_CAPACITY = 4;
  private static final double KEPT_OVER_DEMAND = 1.2;
  private static final double LEAST_DEMAND_PER_SECOND = 0.5;
  private static final long SHORTEST_SUBLEASE_NANOS = 200_000_000L;
  private static final long SHORTEST_REFUSAL_NANOS = 5_000_000L;
  private static final long LONGEST_REFUSAL_NANOS = 160_000_000L;
  private static final long IDLE_NANOS = 60_000_000_000L;

  /** Longer than any answer to a token request is awaited. */
  private static final long REMEMBERED_NANOS = 1_000_000_000L;

  private final WorkspaceId workspace;
  private final ShareTracker tracker;
  private final InvariantMonitor monitor;
  private final TokenBucket bucket;
  private final LeaseBook lent = new LeaseBook();
  private final LeaseBook borrowed = new LeaseBook();
  private final List<HeldTokens> held = new ArrayList<>();
  private final Map<VmId, Long> newestLeaseRequest = new HashMap<>();
  private final Map<SeenRequest, Long> recentTokenRequests = new LinkedHashMap<>();
  private final Deque<ParkedRequest> parked = new ArrayDeque<>();
  private final Deque<WaitingRequest> backlog = new ArrayDeque<>();
  private final DemandEstimate demand = new DemandEstimate();
  private RateLimit rate;
  private long settledNanos;
  private long usedNanos;
  private long roundNanos;
  private long refusedUntilNanos;
  private long refusalNanos;
  private int nextAsked;
  private long leaseAskedNanos;
  private long wakeNanos;
  private List<Vm> orderedFrom = List.of();
  private List<VmId> order = List.of();
  private int asksInFlight;

  /**
   * Creates an account whose bucket is filled from what was owned since the rate came into force.
   *
   * @param workspace the workspace
   * @param rated its rate
   * @param tracker the owned fraction, already observed
   * @param monitor receives violations
   * @param nowNanos monotonic time
   */
  public WorkspaceAccount(
      WorkspaceId workspace,
      RatedWorkspace rated,
      ShareTracker tracker,
      InvariantMonitor monitor,
      long nowNanos) {
    this.workspace = workspace;
    this.tracker = tracker;
    this.monitor = monitor;
    rate = rated.rate();
    settledNanos = Math.max(rated.sinceNanos(), tracker.knownSince());
    bucket = new TokenBucket(rate, tracker.ownedAt(settledNanos), settledNanos);
    usedNanos = nowNanos;
    roundNanos = nowNanos - IDLE_NANOS;
    refusedUntilNanos = nowNanos;
    leaseAskedNanos = roundNanos;
    wakeNanos = nowNanos;
    settle(nowNanos);
  }

  /**
   * Brings the bucket up to date.
   *
   * @param nowNanos monotonic time
   */
  public void settle(long nowNanos) {
    if (tracker.knownSince() - settledNanos > 0) {
      // Which fraction was owned until then is forgotten, so none is assumed.
      bucket.resize(rate, 0, 0, settledNanos);
    }
    List<Long> moments = new ArrayList<>(tracker.changesBetween(settledNanos, nowNanos));
    if (!lent.isEmpty()) {
      moments.addAll(lent.ends());
    }
    if (!borrowed.isEmpty()) {
      moments.addAll(borrowed.ends());
    }
    held.forEach(tokens -> moments.add(tokens.untilNanos));
    moments.removeIf(moment -> moment - settledNanos <= 0 || moment - nowNanos > 0);
    if (!moments.isEmpty()) {
      Collections.sort(moments);
      for (long moment : moments) {
        bucket.resize(rate, usableAt(moment), heldAt(moment), moment);
      }
      lent.forgetEnded(nowNanos);
      borrowed.forgetEnded(nowNanos);
      held.removeIf(tokens -> tokens.untilNanos - nowNanos <= 0);
    }
    settledNanos = nowNanos;
  }

  private double usableAt(long nanos) {
    double usable = tracker.ownedAt(nanos) + borrowed.totalAt(nanos) - lent.totalAt(nanos);
    // Negative only after a pause dropped a fraction that is still lent on.
    return Math.max(0, usable);
  }

  private double heldAt(long nanos) {
    double total = 0;
    for (HeldTokens tokens : held) {
      total += tokens.untilNanos - nanos > 0 ? tokens.count : 0;
    }
    return total;
  }

  private void resize() {
    bucket.resize(rate, usableAt(settledNanos), heldAt(settledNanos), settledNanos);
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
  public void dropAll() {
    borrowed.clear();
    bucket.empty();
    resize();
  }

  /**
   * Takes one token for a request at this VM.
   *
   * @return whether there was one
   */
  public boolean takeOne() {
    return bucket.take(1, settledNanos);
  }

  /**
   * Takes up to a number of tokens for another VM and keeps them counted until a deadline.
   *
   * @param wanted wanted tokens
   * @param holdUntilNanos when the last of them is spent or lost
   * @return the tokens taken
   */
  public int takeForOther(int wanted, long holdUntilNanos) {
    // A fraction that ends or is lent before the tokens are spent would be counted twice.
    double secure = secureCapacity(holdUntilNanos) - heldAt(settledNanos) + ROUNDING;
    int taken = 0;
    while (taken < wanted && taken + 1 <= secure && bucket.take(1, settledNanos)) {
      taken++;
    }
    if (taken > 0) {
      held.add(new HeldTokens(taken, holdUntilNanos));
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
  public Lending lend(VmId borrower, long requestId, double wanted, long validNanos, double kept) {
    Long newest = newestLeaseRequest.get(borrower);
    if (newest != null && newest >= requestId) {
      return Lending.NOTHING;
    }
    newestLeaseRequest.put(borrower, requestId);
    return lend(borrower, wanted, validNanos, kept);
  }

  private Lending lend(VmId borrower, double wanted, long validNanos, double needed) {
    double kept = Math.max(needed, heldFraction());
    long untilNanos = settledNanos + LeaseSettings.extend(validNanos);
    long shorterNanos = untilNanos;
    for (long end : borrowed.ends()) {
      if (end - settledNanos > SHORTEST_SUBLEASE_NANOS) {
        shorterNanos = Math.min(shorterNanos, end);
      }
    }
    double total = Math.min(wanted, lendable(borrower, untilNanos) - kept);
    double shorter = Math.min(wanted, lendable(borrower, shorterNanos) - kept);
    if (shorter > 2 * total) {
      untilNanos = shorterNanos;
      total = shorter;
    }
    if (total <= ROUNDING) {
      return Lending.NOTHING;
    }
    long borrowerNanos = Math.min(validNanos, LeaseSettings.shorten(untilNanos - settledNanos));
    double already = lent.at(borrower, settledNanos);
    double before = usableAt(settledNanos);
    double added = Math.max(0, total - already);
    double tokens = before <= 0 ? 0 : bucket.level(settledNanos) * Math.min(1, added / before);
    double most = lendable(borrower, untilNanos);
    lent.add(borrower, total, untilNanos);
    checkConserved(borrower, most, untilNanos);
    bucket.take(Math.max(0, tokens - ROUNDING), settledNanos);
    resize();
    return new Lending(total, Math.max(0, tokens - 2 * ROUNDING), borrowerNanos);
  }

  private double secureCapacity(long untilNanos) {
    double least = Double.MAX_VALUE;
    for (long moment : momentsUntil(untilNanos)) {
      least = Math.min(least, uncommittedAt(moment));
    }
    return Math.max(0, least) * rate.burstRequests();
  }

  /** The fraction behind tokens that were granted to others and may still be unspent. */
  private double heldFraction() {
    double tokens = heldAt(settledNanos);
    return tokens > 0 && rate.burstRequests() > 0 ? tokens / rate.burstRequests() : 0;
  }

  /** The least that is left for one borrower at any moment until the deadline. */
  private double lendable(VmId borrower, long untilNanos) {
    double least = Double.MAX_VALUE;
    for (long moment : momentsUntil(untilNanos)) {
      least = Math.min(least, uncommittedAt(moment) + lent.at(borrower, moment));
    }
    return least;
  }

  private double uncommittedAt(long nanos) {
    return tracker.guaranteedAt(nanos) + borrowed.totalAt(nanos) - lent.totalAt(nanos);
  }

  private List<Long> momentsUntil(long untilNanos) {
    List<Long> moments = new ArrayList<>(tracker.guaranteeEnds());
    moments.addAll(borrowed.ends());
    moments.addAll(lent.ends());
    moments.removeIf(moment -> moment - settledNanos <= 0 || moment - untilNanos >= 0);
    moments.add(settledNanos);
    return moments;
  }

  /**
   * Checks that the lent total was there. After a pause dropped what is still lent on, the books
   * stay short until those leases end, which is no new lending; so a moment counts only if the
   * borrower did not hold more before.
   */
  private void checkConserved(VmId borrower, double most, long untilNanos) {
    for (long moment : momentsUntil(untilNanos)) {
      double left = uncommittedAt(moment);
      boolean heldMoreBefore = lent.at(borrower, moment) > most + ROUNDING;
      monitor.check(
          Invariant.RATE_CONSERVED,
          left >= -ROUNDING || heldMoreBefore,
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
  public void borrow(VmId lender, double fraction, double tokens, long untilNanos) {
    borrowed.add(lender, fraction, untilNanos);
    resize();
    bucket.add(tokens, settledNanos);
  }

  /**
   * Tells whether the account can be rebuilt later without gaining a token.
   *
   * @return whether it is unused, full, and free of leases and waiting requests
   */
  public boolean isIdle() {
    return settledNanos - usedNanos > IDLE_NANOS
        && lent.isEmpty()
        && borrowed.isEmpty()
        && held.isEmpty()
        && parked.isEmpty()
        && backlog.isEmpty()
        && asksInFlight == 0
        && (bucket.isFull(settledNanos) || tracker.owned() == 0);
  }

  /** Notes that a request of the workspace was seen. */
  public void used() {
    usedNanos = settledNanos;
  }

  /**
   * Returns the time until a number of tokens is there.
   *
   * @param tokens number of tokens
   * @return nanoseconds, {@code Long.MAX_VALUE} if never
   */
  public long nanosUntil(int tokens) {
    return bucket.nanosUntil(tokens, settledNanos);
  }

  /**
   * Returns the fraction for a demand, or nothing if its bucket would seldom hold a token.
   *
   * @param perSecond requests a second
   * @return the fraction
   */
  public double usefulFraction(double perSecond) {
    if (perSecond < LEAST_DEMAND_PER_SECOND || rate.requestsPerSecond() <= 0) {
      return 0;
    }
    double fraction = perSecond * KEPT_OVER_DEMAND / rate.requestsPerSecond();
    return fraction * rate.burstRequests() < SMALLEST_USEFUL_CAPACITY ? 0 : fraction;
  }

  /**
   * Returns the fraction that is usable now.
   *
   * @return owned and borrowed, without what is lent
   */
  public double usable() {
    return usableAt(settledNanos);
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
    return borrowed.at(lender, settledNanos);
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
    while (oldestFirst.hasNext() && settledNanos - oldestFirst.next() > REMEMBERED_NANOS) {
      oldestFirst.remove();
    }
    return recentTokenRequests.putIfAbsent(new SeenRequest(borrower, requestId), settledNanos)
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
  public Deque<ParkedRequest> parked() {
    return parked;
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
  public long roundNanos() {
    return roundNanos;
  }

  /** Notes that a lease round starts. */
  public void roundStarted() {
    roundNanos = settledNanos;
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
  public void refused() {
    refusalNanos =
        Math.min(LONGEST_REFUSAL_NANOS, Math.max(SHORTEST_REFUSAL_NANOS, refusalNanos * 2));
    refusedUntilNanos = settledNanos + refusalNanos;
  }

  /** Asks other VMs again, since one had a token. */
  public void granted() {
    refusalNanos = 0;
  }

  /**
   * Returns each of some VMs in turn.
   *
   * @param vms the VMs
   * @return the next one, or null if there is none
   */
  public @Nullable VmId nextOf(List<VmId> vms) {
    return vms.isEmpty() ? null : vms.get(Math.floorMod(nextAsked++, vms.size()));
  }

  /**
   * Returns the VMs in the order in which they collect this workspace's shares.
   *
   * @param vms the VMs of the view or the list
   * @return their names, the collector first
   */
  public List<VmId> order(List<Vm> vms) {
    if (!orderedFrom.equals(vms)) {
      orderedFrom = vms;
      order = Rendezvous.order(workspace.value(), vms).stream().map(Vm::id).toList();
    }
    return order;
  }

  /**
   * Keeps the number of timers small: one is enough if it comes no later.
   *
   * @param nanos monotonic time at which waiting requests are to be served
   * @return whether a timer is needed
   */
  public boolean mayWake(long nanos) {
    if (wakeNanos - settledNanos > 0 && wakeNanos - nanos <= 0) {
      return false;
    }
    wakeNanos = nanos;
    return true;
  }

  /**
   * Limits how often this VM asks for a lease of its own.
   *
   * @param intervalNanos shortest time between two requests
   * @return whether to ask now
   */
  public boolean mayAskForLease(long intervalNanos) {
    if (settledNanos - leaseAskedNanos < intervalNanos) {
      return false;
    }
    leaseAskedNanos = settledNanos;
    return true;
  }

  /**
   * Returns the number of unanswered token requests.
   *
   * @return requests in flight
   */
  public int asksInFlight() {
    return asksInFlight;
  }

  /**
   * Changes the number of unanswered token requests.
   *
   * @param change 1 or -1
   */
  public void addAsks(int change) {
    asksInFlight += change;
  }

  /**
   * What was lent.
   *
   * @param fraction total fraction of the borrower
   * @param tokens tokens that move with it
   * @param validNanos how long the borrower holds it, counted from the sending of its request
   */
  public record Lending(double fraction, double tokens, long validNanos) {
    static final Lending NOTHING = new Lending(0, 0, 0);
  }

  private record SeenRequest(VmId borrower, long requestId) {}

  private record HeldTokens(int count, long untilNanos) {}
}
