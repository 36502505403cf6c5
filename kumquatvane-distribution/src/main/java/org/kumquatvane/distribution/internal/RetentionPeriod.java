package org.kumquatvane.distribution.internal;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * Time in which items of an earlier era are kept in place of older ones of the source. Guarded by
 * the lock of the feed.
 */
public final class RetentionPeriod {
  private final Duration length;
  private final Clock clock;
  private Optional<Deadline> end = Optional.empty();

  /**
   * Creates a period that has not begun.
   *
   * @param length time from a change of the era until its end
   * @param clock clock of the deadline
   */
  public RetentionPeriod(Duration length, Clock clock) {
    this.length = length;
    this.clock = clock;
  }

  /** Begins the period, because the era has changed. */
  public void begin() {
    end = Optional.of(Deadline.after(clock, length));
  }

  /**
   * Begins the rest of the period of another VM, unless this VM has one of its own.
   *
   * @param remainingMillis what remains of the period of the other VM, in milliseconds
   */
  public void join(long remainingMillis) {
    Duration remaining =
        Duration.ofMillis(Math.max(0, Math.min(remainingMillis, length.toMillis())));
    if (end.isEmpty()) {
      end = Optional.of(Deadline.after(clock, remaining));
    }
  }

  /**
   * Ends the period if its time has passed.
   *
   * @return whether it has ended now
   */
  public boolean endIfReached() {
    boolean isReached = end.isPresent() && end.get().isReached(clock);
    if (isReached) {
      end = Optional.empty();
    }
    return isReached;
  }

  /**
   * Returns the time until the end.
   *
   * @return milliseconds, 0 outside the period
   */
  public long remainingMillis() {
    return end.map(deadline -> Math.max(0, deadline.remainingNanos(clock) / 1_000_000)).orElse(0L);
  }
}
