package org.kumquatvane.membership.testing;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/** Time of one logical VM: a clock that drifts, and tasks that wait while the VM is paused. */
public final class VmTime implements Clock, Scheduler {
  private final SimulatedClock base;
  private final SimulatedScheduler scheduler;
  private final double speed;
  private final long offsetNanos;
  private final long skewMillis;
  private final List<Runnable> held = new ArrayList<>();
  private boolean paused;
  private boolean dead;

  /**
   * Creates the time of a running VM.
   *
   * @param base true time
   * @param scheduler runs tasks in true time
   * @param drift part by which this clock runs fast, for example 0.0005
   * @param offsetNanos reading of this clock at true time zero
   * @param skewMillis error of the wall clock
   */
  public VmTime(
      SimulatedClock base,
      SimulatedScheduler scheduler,
      double drift,
      long offsetNanos,
      long skewMillis) {
    this.base = base;
    this.scheduler = scheduler;
    this.offsetNanos = offsetNanos;
    this.skewMillis = skewMillis;
    speed = 1 + drift;
  }

  @Override
  public long monotonicNanos() {
    return localNanos(base.monotonicNanos());
  }

  @Override
  public long epochMillis() {
    return base.epochMillis() + skewMillis;
  }

  /**
   * Converts true time to this clock.
   *
   * @param trueNanos true time
   * @return reading of this clock
   */
  public long localNanos(long trueNanos) {
    return offsetNanos + (long) (trueNanos * speed);
  }

  @Override
  public Scheduled schedule(Deadline deadline, Runnable task) {
    long trueNanos = (long) Math.ceil((deadline.nanos() - offsetNanos) / speed) + 1;
    return scheduler.schedule(new Deadline(trueNanos), () -> dispatch(task));
  }

  /**
   * Runs a task now, on resumption if the VM is paused, or never if it is dead.
   *
   * @param task the task
   */
  public void dispatch(Runnable task) {
    if (dead) {
      return;
    }
    if (paused) {
      held.add(task);
    } else {
      task.run();
    }
  }

  /** Stops all tasks until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** Runs what was held back, late, and continues. */
  public void resume() {
    paused = false;
    List<Runnable> late = List.copyOf(held);
    held.clear();
    late.forEach(this::dispatch);
  }

  /** Ends the VM for good. */
  public void kill() {
    dead = true;
    held.clear();
  }

  /**
   * Tells whether tasks run now.
   *
   * @return false while paused and after the end
   */
  public boolean isRunning() {
    return !paused && !dead;
  }

  /**
   * Tells whether the process exists.
   *
   * @return false after the end
   */
  public boolean isAlive() {
    return !dead;
  }
}
