package org.kumquatvane.distribution.internal;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;

/**
 * Decides when which call is made to the source: one at a time, with pauses after failures and
 * between reads of all items. Guarded by the lock of the feed.
 */
public final class CallSchedule {
  /** Minimum time between two reads of all items, in case each is followed by unusable changes. */
  private static final Duration FULL_READ_INTERVAL = Duration.ofMillis(500);

  /** Time without any response after which a call counts as lost; calls time out well before it. */
  private static final Duration CALL_LIMIT = Duration.ofSeconds(5);

  private final Clock clock;
  private final Counters counters;
  private boolean callInFlight;
  private boolean fullReadDue;
  private Deadline callLimit;
  private Deadline nextCall;
  private Deadline nextFullRead;

  /** A call to the source. */
  public enum Call {
    /** No call is due. */
    NONE,
    /** A cheap read that may lag; the next watch returns the changes that it does not contain. */
    FIRST_READ,
    /** A read that does not lag, after changes were lost. */
    FULL_READ,
    /** A wait for changes. */
    WATCH
  }

  /**
   * Creates a schedule in which the first call is due.
   *
   * @param clock clock of the deadlines
   * @param counters counts lost calls
   */
  public CallSchedule(Clock clock, Counters counters) {
    this.clock = clock;
    this.counters = counters;
    Deadline now = new Deadline(clock.monotonicNanos());
    callLimit = now;
    nextCall = now;
    nextFullRead = now;
  }

  /**
   * Chooses the call to make now; a call other than {@link Call#NONE} counts as begun.
   *
   * @param hasItems whether all items have been read once
   * @param watches whether this VM has to watch the source itself
   * @param followsResponse whether a response has just been handled; the first read is then left to
   *     a later time
   * @return the call
   */
  public Call begin(boolean hasItems, boolean watches, boolean followsResponse) {
    if (callInFlight && callLimit.isReached(clock)) {
      counters.add("source.calls_lost", 1);
      callInFlight = false;
    }
    if (callInFlight || !nextCall.isReached(clock)) {
      return Call.NONE;
    }
    Call call = Call.NONE;
    if (!hasItems) {
      call = followsResponse ? Call.NONE : Call.FIRST_READ;
    } else if (fullReadDue) {
      call = nextFullRead.isReached(clock) ? Call.FULL_READ : Call.NONE;
    } else if (watches) {
      call = Call.WATCH;
    }
    callInFlight = call != Call.NONE;
    callLimit = Deadline.after(clock, CALL_LIMIT);
    return call;
  }

  /** Records a part of a response, after which the rest may take the whole time again. */
  public void onPartialResponse() {
    callLimit = Deadline.after(clock, CALL_LIMIT);
  }

  /** Records the end of a call. */
  public void onCallEnd() {
    callInFlight = false;
  }

  /** Records a complete read of all items. */
  public void onReadEnd() {
    callInFlight = false;
    fullReadDue = false;
    nextFullRead = Deadline.after(clock, FULL_READ_INTERVAL);
  }

  /** Makes a read that does not lag the next call. */
  public void requireFullRead() {
    fullReadDue = true;
  }

  /** Cancels the read of all items, because another VM has reported them. */
  public void onItemsReported() {
    fullReadDue = false;
  }

  /**
   * Makes no call for some time.
   *
   * @param pause time without a call
   */
  public void pause(Duration pause) {
    nextCall = Deadline.after(clock, pause);
  }
}
