package org.kumquatvane.selection.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;

/**
 * Reduces the weight of failures at an instance that one other VM reports again and again while no
 * third VM sees any: they are more likely caused by the network path of that VM. Guarded by the
 * pool's lock.
 */
final class RepeatedFailures {
  /** Failures that are further apart than a typical failure period are independent. */
  private static final Duration MEMORY = Duration.ofSeconds(4);

  private final Clock clock;
  private @Nullable VmId reporter;
  private int repetitions;
  private Deadline until;

  RepeatedFailures(Clock clock) {
    this.clock = clock;
    until = new Deadline(clock.monotonicNanos());
  }

  /**
   * Returns the likelihood ratio to use for a failure.
   *
   * @param peer the VM that reports it
   * @param ratio likelihood ratio of the failure, above 1
   * @return the ratio for the first failure; for the n-th one, its root of degree n squared, so
   *     that all repetitions together weigh less than the first failure
   */
  double temper(VmId peer, double ratio) {
    boolean isRepetition = peer.equals(reporter) && !until.isReached(clock);
    repetitions = isRepetition ? repetitions + 1 : 1;
    reporter = peer;
    until = Deadline.after(clock, MEMORY);
    return Math.pow(ratio, 1.0 / ((double) repetitions * repetitions));
  }
}
