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
import org.kumquatvane.distribution.WatchOptions;

/**
 * Repeats one call to the platform while this VM is a reader. At most one call is in flight at a
 * time, and successive calls start at least the minimum interval apart.
 */
public final class WatchLoop {
  /** Limit of the exponential backoff after failed calls, as a multiple of the minimum interval. */
  private static final int MAXIMUM_BACKOFF_FACTOR = 8;

  private final Clock clock;
  private final Scheduler scheduler;
  private final Duration minimumInterval;
  private final Duration maximumWatchTime;
  private final Call call;
  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private boolean enabled;
  private boolean callOpen;
  private OptionalLong version = OptionalLong.empty();
  private Deadline nextCall;
  private int backoffFactor = 1;

  /**
   * Creates a loop that is stopped.
   *
   * @param clock clock of the intervals
   * @param scheduler delays calls
   * @param minimumInterval minimum time between the starts of two calls
   * @param maximumWatchTime longest time that the platform holds a call
   * @param call starts the call
   */
  public WatchLoop(
      Clock clock,
      Scheduler scheduler,
      Duration minimumInterval,
      Duration maximumWatchTime,
      Call call) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.minimumInterval = minimumInterval;
    this.maximumWatchTime = maximumWatchTime;
    this.call = call;
    nextCall = new Deadline(clock.monotonicNanos());
  }

  /**
   * Starts or stops the loop. Stopping does not cancel a call in flight, but no call follows it.
   *
   * @param active whether this VM is a reader
   */
  public void setActive(boolean active) {
    lock.run(
        () -> {
          enabled = active;
          if (active && !callOpen) {
            callOpen = true;
            scheduler.schedule(nextCall, this::startCall);
          }
        });
  }

  private void startCall() {
    lock.call(this::nextWatchOptions).ifPresent(options -> call.start(options, this::onCallEnded));
  }

  private Optional<WatchOptions> nextWatchOptions() {
    if (!enabled) {
      callOpen = false;
      return Optional.empty();
    }
    nextCall = Deadline.after(clock, minimumInterval);
    return Optional.of(
        version.isPresent() ? new WatchOptions(version, maximumWatchTime) : WatchOptions.IMMEDIATE);
  }

  private void onCallEnded(CallResult result) {
    lock.run(
        () -> {
          if (result instanceof CallResult.Failed) {
            // Reads the current value next, since the failed call may have lost a part of it.
            version = OptionalLong.empty();
            nextCall = Deadline.after(clock, minimumInterval.multipliedBy(backoffFactor));
            backoffFactor = Math.min(MAXIMUM_BACKOFF_FACTOR, backoffFactor * 2);
          } else {
            backoffFactor = 1;
          }
          if (result instanceof CallResult.Changed changed) {
            version = OptionalLong.of(changed.version());
          }
          scheduler.schedule(nextCall, this::startCall);
        });
  }

  /** One call to the platform. */
  @FunctionalInterface
  public interface Call {
    /**
     * Starts the call.
     *
     * @param options version and wait time of the watch
     * @param onResult receives the result exactly once
     */
    void start(WatchOptions options, Consumer<CallResult> onResult);
  }

  /** Result of a call. */
  public sealed interface CallResult {
    /**
     * The platform returned a value.
     *
     * @param version its version
     */
    record Changed(long version) implements CallResult {}

    /** The version did not change. */
    record Unchanged() implements CallResult {}

    /** The call failed or returned no usable response. */
    record Failed() implements CallResult {}
  }
}
