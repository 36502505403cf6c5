package org.kumquatvane.admission.internal;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.admission.WaitingRequest;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.QueuePolicy;

/**
 * Start-time fair queue of one service over the slot time used by each workspace. Guarded by the
 * lock of the owning queue.
 */
public final class ServiceQueue {
  private static final QueuePolicy NO_CAPACITY = new QueuePolicy(0, 0);

  /** Number of accounts at which idle ones are first pruned. */
  private static final int INITIAL_PRUNE_THRESHOLD = 64;

  private final Map<WorkspaceId, Account> accounts = new HashMap<>();

  /** Accounts with waiting requests, ordered by used slot time. */
  private final TreeSet<Account> backlogged =
      new TreeSet<>(
          Comparator.<Account>comparingLong(account -> account.usedNanos)
              .thenComparingLong(account -> account.sequence));

  private QueuePolicy policy = NO_CAPACITY;
  private long virtualTime;
  private long nextSequence;
  private long averageSlotNanos = Account.INITIAL_AVERAGE_NANOS;
  private boolean hasAverage;
  private int pruneThreshold = INITIAL_PRUNE_THRESHOLD;
  private int waiting;
  private int running;

  /**
   * Sets the limits; requests that are already waiting remain queued.
   *
   * @param policy the limits
   */
  public void setPolicy(QueuePolicy policy) {
    this.policy = policy;
  }

  /**
   * Adds a request.
   *
   * @param request the request
   * @param clock clock of the deadline
   * @return the reason for refusal, or empty if it was queued
   */
  public Optional<Reason> enqueue(WaitingRequest request, Clock clock) {
    if (request.deadline().isReached(clock)) {
      return Optional.of(Reason.DEADLINE_PASSED_WAITING);
    }
    Account account = account(request.workspace());
    if (waiting >= policy.maximumWaiting()
        || account.requests.size() >= policy.maximumWaitingPerWorkspace()) {
      return Optional.of(Reason.QUEUE_FULL);
    }
    if (expectedEndNanos(account) > request.deadline().remainingNanos(clock)) {
      return Optional.of(Reason.DEADLINE_UNREACHABLE);
    }
    if (account.requests.isEmpty()) {
      // Prevents a workspace from accumulating credit while idle and then starving the others.
      account.usedNanos = Math.max(account.usedNanos, virtualTime);
      backlogged.add(account);
    }
    account.requests.addLast(request);
    waiting++;
    return Optional.empty();
  }

  /**
   * Returns the earliest expected time until another request of a workspace ends: the work ahead of
   * it in fair order, divided by the slots that this VM currently holds, plus half of the average
   * slot time for the request itself, which may be shorter than average. Without waiting requests a
   * slot may be free, so that only the request itself counts.
   */
  private long expectedEndNanos(Account account) {
    if (!hasAverage) {
      return 0;
    }
    long work = 0;
    int ownPosition = account.requests.size() + 1;
    for (Account other : backlogged) {
      int before =
          other == account ? ownPosition - 1 : Math.min(ownPosition, other.requests.size());
      work += before * other.averageSlotNanos;
    }
    return work / Math.max(1, running) + account.averageSlotNanos / 2;
  }

  /**
   * Removes the next request.
   *
   * @param clock clock of the deadlines
   * @param expired receives removed requests whose deadline has passed
   * @return the request, or empty
   */
  public Optional<WaitingRequest> pollNext(Clock clock, List<WaitingRequest> expired) {
    while (!backlogged.isEmpty()) {
      Account account = backlogged.first();
      backlogged.remove(account);
      WaitingRequest request = account.requests.removeFirst();
      waiting--;
      boolean isExpired = request.deadline().remainingNanos(clock) <= neededNanos(account);
      if (isExpired) {
        expired.add(request);
      } else {
        virtualTime = Math.max(virtualTime, account.usedNanos);
        // Charged provisionally, so that one workspace does not get all of several free slots.
        account.usedNanos += account.averageSlotNanos;
        account.provisionalCharges++;
        running++;
      }
      if (!account.requests.isEmpty()) {
        backlogged.add(account);
      }
      if (!isExpired) {
        return Optional.of(request);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the remaining time below which a request gets no slot, since it would probably waste
   * it. While others wait for the slot, a request needs the average time; without them, it may turn
   * out to be shorter.
   */
  private long neededNanos(Account account) {
    if (!hasAverage) {
      return 0;
    }
    return waiting > 0 ? account.averageSlotNanos : account.averageSlotNanos / 2;
  }

  /**
   * Reverts {@link #pollNext} for a request for which no slot was found.
   *
   * @param request the most recently removed request
   */
  public void requeue(WaitingRequest request) {
    Account account = account(request.workspace());
    if (!account.requests.isEmpty()) {
      backlogged.remove(account);
    }
    account.requests.addFirst(request);
    account.usedNanos -= account.averageSlotNanos;
    account.provisionalCharges--;
    waiting++;
    running--;
    backlogged.add(account);
  }

  /**
   * Removes a request.
   *
   * @param request the request
   * @return whether it was waiting
   */
  public boolean remove(WaitingRequest request) {
    @Nullable Account account = accounts.get(request.workspace());
    if (account == null) {
      return false;
    }
    for (Iterator<WaitingRequest> iterator = account.requests.iterator(); iterator.hasNext(); ) {
      if (iterator.next() == request) {
        iterator.remove();
        waiting--;
        if (account.requests.isEmpty()) {
          backlogged.remove(account);
        }
        return true;
      }
    }
    return false;
  }

  /**
   * Replaces the provisional charge of one request with the slot time that it used.
   *
   * @param workspace the workspace
   * @param slotNanos slot time
   */
  public void charge(WorkspaceId workspace, long slotNanos) {
    Account account = account(workspace);
    replaceProvisionalCharge(account, slotNanos);
    account.averageSlotNanos += (slotNanos - account.averageSlotNanos) / Account.SMOOTHING;
    averageSlotNanos += (slotNanos - averageSlotNanos) / Account.SMOOTHING;
    hasAverage = true;
  }

  /**
   * Reverts the provisional charge of one request that did no work, such as one that the instance
   * shed. The average remains, since it estimates the time that a request needs at an instance.
   *
   * @param workspace the workspace
   */
  public void refund(WorkspaceId workspace) {
    replaceProvisionalCharge(account(workspace), 0);
  }

  private void replaceProvisionalCharge(Account account, long slotNanos) {
    long provisionalNanos = 0;
    if (account.provisionalCharges > 0) {
      account.provisionalCharges--;
      running--;
      provisionalNanos = account.averageSlotNanos;
    }
    boolean isBacklogged = !account.requests.isEmpty();
    if (isBacklogged) {
      backlogged.remove(account);
    }
    account.usedNanos += slotNanos - provisionalNanos;
    if (isBacklogged) {
      backlogged.add(account);
    }
  }

  /**
   * Returns the remaining time below which a request is not given a slot: half of the average slot
   * time, since the request may be shorter than average.
   *
   * @return the time, or 0 before the first request has ended
   */
  public long minimumUsefulNanos() {
    return hasAverage ? averageSlotNanos / 2 : 0;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return waiting requests
   */
  public int waitingCount() {
    return waiting;
  }

  private Account account(WorkspaceId workspace) {
    @Nullable Account known = accounts.get(workspace);
    if (known != null) {
      return known;
    }
    if (accounts.size() >= pruneThreshold) {
      accounts.values().removeIf(Account::isIdle);
      pruneThreshold = Math.max(INITIAL_PRUNE_THRESHOLD, 2 * accounts.size());
    }
    Account created = new Account(virtualTime, averageSlotNanos, nextSequence++);
    accounts.put(workspace, created);
    return created;
  }

  /**
   * Returns the number of workspaces with an account.
   *
   * @return number of accounts, at most about twice the number of workspaces with waiting or
   *     running requests
   */
  public int accountCount() {
    return accounts.size();
  }

  private static final class Account {
    /** Reciprocal of the weight of the latest slot time in the moving average. */
    private static final long SMOOTHING = 8;

    private static final long INITIAL_AVERAGE_NANOS = 10_000_000;

    private final Deque<WaitingRequest> requests = new ArrayDeque<>();
    private final long sequence;
    private long usedNanos;
    private long averageSlotNanos;
    private int provisionalCharges;

    private Account(long usedNanos, long averageSlotNanos, long sequence) {
      this.usedNanos = usedNanos;
      this.averageSlotNanos = averageSlotNanos;
      this.sequence = sequence;
    }

    private boolean isIdle() {
      return requests.isEmpty() && provisionalCharges == 0;
    }
  }
}
