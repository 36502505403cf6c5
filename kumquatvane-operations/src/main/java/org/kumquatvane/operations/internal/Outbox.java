package org.kumquatvane.operations.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.operations.BeginVerdict;

/**
 * Messages, verdicts and timers that are collected under the lock and processed after its release.
 */
public final class Outbox {
  private final Clock clock;
  private final Scheduler scheduler;
  private final PeerSender sender;
  private final Consumer<Step> underLock;
  private final List<Runnable> actions = new ArrayList<>();

  /**
   * Creates an empty outbox.
   *
   * @param clock clock of this VM
   * @param scheduler starts timers
   * @param sender sends messages, also to this VM itself
   * @param underLock runs the step of an expired timer under the lock
   */
  public Outbox(Clock clock, Scheduler scheduler, PeerSender sender, Consumer<Step> underLock) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.sender = sender;
    this.underLock = underLock;
  }

  /**
   * Returns the wall-clock time.
   *
   * @return milliseconds since the Unix epoch
   */
  public long epochMillis() {
    return clock.epochMillis();
  }

  /**
   * Returns the monotonic time.
   *
   * @return nanoseconds
   */
  public long nowNanos() {
    return clock.monotonicNanos();
  }

  /**
   * Adds a message.
   *
   * @param destination receiver
   * @param message the message
   */
  public void send(VmId destination, PeerMessage message) {
    actions.add(() -> sender.send(destination, message));
  }

  /**
   * Adds a verdict.
   *
   * @param receiver receives the verdict
   * @param verdict the verdict
   */
  public void deliver(Consumer<BeginVerdict> receiver, BeginVerdict verdict) {
    actions.add(() -> receiver.accept(verdict));
  }

  /**
   * Adds a timer.
   *
   * @param waitNanos time from now
   * @param step runs under the lock
   */
  public void schedule(long waitNanos, Step step) {
    Deadline deadline = new Deadline(clock.monotonicNanos() + waitNanos);
    actions.add(() -> scheduler.schedule(deadline, () -> underLock.accept(step)));
  }

  /** Processes all entries in order. */
  public void flush() {
    actions.forEach(Runnable::run);
  }

  /** A step of the ledger; runs under its lock. */
  @FunctionalInterface
  public interface Step {
    /**
     * Runs the step.
     *
     * @param outbox collects the effects to process after the lock is released
     */
    void run(Outbox outbox);
  }
}
