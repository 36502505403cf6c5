package org.kumquatvane.selection;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * Lowers the limit by a fifth when an instance sheds and raises it by one when a whole limit's
 * worth of attempts has ended without shedding. VMs find their parts of the slots without messages.
 */
public final class AdaptiveSlotLimit implements SlotLimit {
  private static final double DECREASE = 0.8;

  /** Sheds that come together have one cause and lower the limit once. */
  private static final Duration DECREASE_SPACING = Duration.ofMillis(50);

  /** Forty VMs in front of six instances with two slots cannot even have one slot each. */
  private static final double SMALLEST = 1;

  private static final double LARGEST = 10_000;

  private final Clock clock;
  private double limit = LARGEST;
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
  public boolean mayTake(int inUse) {
    return inUse < limit;
  }

  @Override
  public void shed(int inUse) {
    if (nextDecrease.isReached(clock)) {
      // A limit far above the use would take many decreases to bind.
      limit = Math.max(SMALLEST, DECREASE * Math.min(limit, inUse));
      nextDecrease = Deadline.after(clock, DECREASE_SPACING);
    }
  }

  @Override
  public void released(int inUse) {
    if (inUse + 1 >= limit) {
      limit = Math.min(LARGEST, limit + 1 / limit);
    }
  }
}
