package org.kumquatvane.selection;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * Lowers the limit by a fifth when an instance sheds and raises it by one when a whole limit's
 * worth of attempts has ended without shedding. VMs find their parts of the slots without messages.
 */
public final class AdaptiveSlotLimit implements SlotLimit {
  private static final double DECREASE_FACTOR = 0.8;

  /** Sheds that come together have one cause and lower the limit once. */
  private static final Duration MINIMUM_DECREASE_INTERVAL = Duration.ofMillis(50);

  /** Forty VMs in front of six instances with two slots cannot even have one slot each. */
  private static final double MINIMUM_LIMIT = 1;

  private static final double MAXIMUM_LIMIT = 10_000;

  private final Clock clock;
  private double limit = MAXIMUM_LIMIT;
  private Deadline nextDecrease;

  /**
   * Creates a limit that does not bind until an instance sheds.
   *
   * @param clock clock of the spacing
   */
  public AdaptiveSlotLimit(Clock clock) {
    this.clock = clock;
    nextDecrease = new Deadline(clock.monotonicNanos());
  }

  @Override
  public boolean canAcquire(int inUse) {
    return inUse < limit;
  }

  @Override
  public void onShed(int inUse) {
    if (nextDecrease.isReached(clock)) {
      // A limit far above the use would take many decreases to bind.
      limit = Math.max(MINIMUM_LIMIT, DECREASE_FACTOR * Math.min(limit, inUse));
      nextDecrease = Deadline.after(clock, MINIMUM_DECREASE_INTERVAL);
    }
  }

  @Override
  public void onReleased(int inUse) {
    if (inUse + 1 >= limit) {
      limit = Math.min(MAXIMUM_LIMIT, limit + 1 / limit);
    }
  }
}
