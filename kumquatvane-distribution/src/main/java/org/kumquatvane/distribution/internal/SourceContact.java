package org.kumquatvane.distribution.internal;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * What this VM knows of its contact with the source: the newest confirmation that its items are up
 * to date, and failed calls. Guarded by the lock of the feed.
 */
public final class SourceContact {
  /**
   * Failed responses in a row after which all items are read in pages instead: a response with the
   * changes may be too long to arrive in time, and the same request would fail again.
   */
  private static final int BROKEN_RESPONSES_LIMIT = 2;

  private final Duration staleAfter;
  private final Duration recoveryWindow;
  private final Clock clock;
  private long confirmedNanos;
  private Deadline recoveryWindowEnd;
  private boolean isLost;
  private String lastFailure = "";
  private int brokenResponses;

  /** What a failed call says beyond the call before it. */
  public enum FailureChange {
    /** The calls before it succeeded. */
    NEWLY_LOST,
    /** The call before it failed for another reason. */
    OTHER_FAILURE,
    /** The call before it failed for the same reason. */
    NONE
  }

  /**
   * Creates a contact that counts as confirmed now.
   *
   * @param staleAfter time without a confirmation after which other VMs have stopped reporting
   * @param recoveryWindow time after the recovery of the source during which expired entries may be
   *     restored
   * @param clock clock of the deadlines
   */
  public SourceContact(Duration staleAfter, Duration recoveryWindow, Clock clock) {
    this.staleAfter = staleAfter;
    this.recoveryWindow = recoveryWindow;
    this.clock = clock;
    confirmedNanos = clock.monotonicNanos();
    recoveryWindowEnd = new Deadline(confirmedNanos);
  }

  /**
   * Records that the items are up to date.
   *
   * @return whether the source was lost before
   */
  public boolean confirm() {
    long now = clock.monotonicNanos();
    if (now - confirmedNanos > 2 * staleAfter.toNanos()) {
      recoveryWindowEnd = Deadline.after(clock, recoveryWindow);
    }
    confirmedNanos = now;
    boolean wasLost = isLost;
    isLost = false;
    return wasLost;
  }

  /** Records that the source has returned from a copy, which lacks entries of live instances. */
  public void onEraChange() {
    recoveryWindowEnd = Deadline.after(clock, recoveryWindow);
  }

  /** Records that this VM has received a whole response. */
  public void onResponse() {
    brokenResponses = 0;
  }

  /**
   * Records a failed call.
   *
   * @param detail description of the failure
   * @param hasBegun whether a part of the response has arrived
   * @return what is new about it
   */
  public FailureChange fail(String detail, boolean hasBegun) {
    brokenResponses = hasBegun ? brokenResponses + 1 : 0;
    boolean isNew = !isLost;
    boolean isOther = !detail.equals(lastFailure);
    isLost = true;
    lastFailure = detail;
    if (isNew) {
      return FailureChange.NEWLY_LOST;
    }
    return isOther ? FailureChange.OTHER_FAILURE : FailureChange.NONE;
  }

  /**
   * Returns whether responses break off again and again after they have begun.
   *
   * @return whether to read all items in pages instead
   */
  public boolean isResponseUnreceivable() {
    return brokenResponses >= BROKEN_RESPONSES_LIMIT;
  }

  /**
   * Returns whether the last call failed.
   *
   * @return whether no confirmation has come since
   */
  public boolean isLost() {
    return isLost;
  }

  /**
   * Returns whether expired entries may be restored.
   *
   * @return whether the source was regained a short time ago
   */
  public boolean isRecovering() {
    return !recoveryWindowEnd.isReached(clock);
  }

  /**
   * Returns the age of the newest confirmation.
   *
   * @return nanoseconds
   */
  public long ageNanos() {
    return clock.monotonicNanos() - confirmedNanos;
  }
}
