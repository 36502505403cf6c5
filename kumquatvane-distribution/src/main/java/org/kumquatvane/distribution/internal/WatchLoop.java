package org.kumquatvane.distribution.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.distribution.SourceWatch;

/**
 * Repeats one call to the platform while this VM is a reader. At most one call is open at a time,
 * and two calls begin at least the shortest interval apart.
 */
public final class WatchLoop {
  /** Failed calls are repeated with a wait that doubles up to the interval times this. */
  private static final int MAXIMUM_BACKOFF_FACTOR = 8;

  private final Clock clock;
  private final Scheduler scheduler;
  private final Duration shortestInterval;
  private final Duration longestWatch;
  private final Call call;
  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private boolean wanted;
  private boolean open;
  private OptionalLong version = OptionalLong.empty();
  private Deadline nextCall;
  private int backoffFactor = 1;

  /**
   * Creates a loop that is stopped.
   *
   * @param clock clock of the intervals
   * @param scheduler delays calls
   * @param shortestInterval least time between the starts of two calls
   * @param longestWatch how long the platform may hold a call
   * @param call the call
   */
  public WatchLoop(
      Clock clock,
      Scheduler scheduler,
      Duration shortestInterval,
      Duration longestWatch,
      Call call) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.shortestInterval = shortestInterval;
    this.longestWatch = longestWatch;
    this.call = call;
    nextCall = new Deadline(clock.monotonicNanos());
  }

  /**
   * Starts or stops the loop; an open call is not cut off, but not repeated.
   *
   * @param active whether this VM is a reader
   */
  public void setActive(boolean active) {
    lock.run(
        () -> {
          wanted = active;
          if (active && !open) {
            open = true;
            scheduler.schedule(nextCall, this::begin);
          }
        });
  }

  private void begin() {
    lock.call(this::nextWatch).ifPresent(watch -> call.begin(watch, this::ended));
  }

  private Optional<SourceWatch> nextWatch() {
    if (!wanted) {
      open = false;
      return Optional.empty();
    }
    nextCall = Deadline.after(clock, shortestInterval);
    return Optional.of(
        version.isPresent() ? new SourceWatch(version, longestWatch) : SourceWatch.NOW);
  }

  private void ended(Ending ending) {
    lock.run(
        () -> {
          if (ending instanceof Ending.Failed) {
            // The next call asks for the value as it is, in case a part of it was lost.
            version = OptionalLong.empty();
            nextCall = Deadline.after(clock, shortestInterval.multipliedBy(backoffFactor));
            backoffFactor = Math.min(MAXIMUM_BACKOFF_FACTOR, backoffFactor * 2);
          } else {
            backoffFactor = 1;
          }
          if (ending instanceof Ending.Changed changed) {
            version = OptionalLong.of(changed.version());
          }
          scheduler.schedule(nextCall, this::begin);
        });
  }

  /** One call to the platform. */
  @FunctionalInterface
  public interface Call {
    /**
     * Begins the call.
     *
     * @param watch how to wait
     * @param ending receives how the call ended, exactly once
     */
    void begin(SourceWatch watch, Consumer<Ending> ending);
  }

  /** How a call ended. */
  public sealed interface Ending {
    /**
     * The platform gave a value.
     *
     * @param version its version
     */
    record Changed(long version) implements Ending {}

    /** The version is the same. */
    record Unchanged() implements Ending {}

    /** No usable answer. */
    record Failed() implements Ending {}
  }
}
