package org.kumquatvane.admission.internal;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  private static final QueuePolicy CLOSED = new QueuePolicy(0, 0);

  private final Map<WorkspaceId, Account> accounts = new HashMap<>();
  private QueuePolicy policy = CLOSED;
  private long virtualTime;
  private int waiting;

  /**
   * Sets the limits; requests that wait already stay.
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
   * @return the reason of a refusal, or empty
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
    if (account.requests.isEmpty()) {
      // An idle workspace may not save up slot time and then lock out the others.
      account.usedNanos = Math.max(account.usedNanos, virtualTime);
    }
    account.requests.addLast(request);
    waiting++;
    return Optional.empty();
  }

  /**
   * Removes the next request.
   *
   * @param clock clock of the deadlines
   * @param expired receives removed requests whose deadline has passed
   * @return the request, or empty
   */
  public Optional<WaitingRequest> next(Clock clock, List<WaitingRequest> expired) {
    while (waiting > 0) {
      Account account =
          accounts.values().stream()
              .filter(candidate -> !candidate.requests.isEmpty())
              .min(Comparator.comparingLong(candidate -> candidate.usedNanos))
              .orElseThrow();
      WaitingRequest request = account.requests.removeFirst();
      waiting--;
      if (request.deadline().isReached(clock)) {
        expired.add(request);
        continue;
      }
      virtualTime = Math.max(virtualTime, account.usedNanos);
      // Charged provisionally, so that several free slots do not all go to one workspace.
      account.usedNanos += account.typicalNanos;
      account.provisional++;
      return Optional.of(request);
    }
    return Optional.empty();
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
        return true;
      }
    }
    return false;
  }

  /**
   * Replaces the provisional charge of one request by the time it used.
   *
   * @param workspace the workspace
   * @param slotNanos slot time
   */
  public void charge(WorkspaceId workspace, long slotNanos) {
    Account account = account(workspace);
    long provisional = 0;
    if (account.provisional > 0) {
      account.provisional--;
      provisional = account.typicalNanos;
    }
    account.usedNanos += slotNanos - provisional;
    account.typicalNanos += (slotNanos - account.typicalNanos) / Account.SMOOTHING;
  }

  /**
   * Returns how many requests wait.
   *
   * @return waiting requests
   */
  public int waiting() {
    return waiting;
  }

  private Account account(WorkspaceId workspace) {
    return accounts.computeIfAbsent(workspace, unused -> new Account(virtualTime));
  }

  private static final class Account {
    /** Weight of the newest slot time in the average is one over this number. */
    private static final long SMOOTHING = 8;

    private static final long INITIAL_TYPICAL_NANOS = 10_000_000;

    private final Deque<WaitingRequest> requests = new ArrayDeque<>();
    private long usedNanos;
    private long typicalNanos = INITIAL_TYPICAL_NANOS;
    private int provisional;

    private Account(long usedNanos) {
      this.usedNanos = usedNanos;
    }
  }
}
