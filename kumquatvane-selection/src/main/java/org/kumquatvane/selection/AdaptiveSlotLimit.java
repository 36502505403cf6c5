package org.kumquatvane.selection;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * Additive-increase, multiplicative-decrease limit: it drops by a fifth when an instance sheds and
 * rises by one when as many attempts as the limit allows have ended without shedding. VMs thus
 * converge on their shares of the slots without exchanging messages.
 */
public final class AdaptiveSlotLimit implements SlotLimit {
  private static final double DECREASE_FACTOR = 0.8;

  /** Sheds within this time have the same cause and lower the limit once. */
  private static final Duration MINIMUM_DECREASE_INTERVAL = Duration.ofMillis(50);

  /**
   * The smallest limit that lets a VM make progress. With 40 VMs and six instances of two slots
   * there is less than one slot per VM, so the VMs may still exceed the slots together.
   */
  private static final double MINIMUM_LIMIT = 1;

  private static final double MAXIMUM_LIMIT = 10_000;

  private final Clock clock;
  private double limit = MAXIMUM_LIMIT;
  private Deadline nextDecrease;

  /**
   * Creates a limit that has no effect until an instance sheds.
   *
   * @param clock clock of the decrease interval
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
      // Starts from the slots in use, since a limit far above them would need many decreases to
      // take effect.
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
