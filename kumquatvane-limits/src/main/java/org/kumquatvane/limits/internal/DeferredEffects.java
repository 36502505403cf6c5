package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.limits.LimitDecision;

/** Messages, decisions and timers collected under the lock and executed after its release. */
public final class DeferredEffects {
  private final PeerSender sender;
  private final Scheduler scheduler;
  private final Consumer<Step> underLock;
  private final long nowNanos;
  private final List<Runnable> actions = new ArrayList<>(2);

  /**
   * Creates an empty collection.
   *
   * @param sender sends the messages
   * @param scheduler starts the timers
   * @param underLock runs the step of a timer under the lock
   * @param nowNanos monotonic time of this step
   */
  public DeferredEffects(
      PeerSender sender, Scheduler scheduler, Consumer<Step> underLock, long nowNanos) {
    this.sender = sender;
    this.scheduler = scheduler;
    this.underLock = underLock;
    this.nowNanos = nowNanos;
  }

  /**
   * Returns the time at which the step began.
   *
   * @return monotonic time
   */
  public long nowNanos() {
    return nowNanos;
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
   * Adds a decision.
   *
   * @param request receives it
   * @param decision the decision
   */
  public void decide(WaitingRequest request, LimitDecision decision) {
    actions.add(() -> request.decision().accept(decision));
  }

  /**
   * Adds a timer.
   *
   * @param nanos monotonic time
   * @param step runs under the lock
   */
  public void schedule(long nanos, Step step) {
    actions.add(() -> scheduler.schedule(new Deadline(nanos), () -> underLock.accept(step)));
  }

  /** Executes all effects in order. */
  public void run() {
    actions.forEach(Runnable::run);
  }

  /** A step of the limiter; runs under its lock. */
  @FunctionalInterface
  public interface Step {
    /**
     * Runs the step.
     *
     * @param effects collects the effects to execute after the lock is released
     */
    void run(DeferredEffects effects);
  }
}
