package org.kumquatvane.membership.testing;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Clock and scheduler of one simulated VM. The clock drifts, and tasks are deferred while the VM is
 * paused.
 */
public final class SimulatedVmTime implements Clock, Scheduler {
  private final SimulatedClock trueTime;
  private final SimulatedScheduler scheduler;
  private final double rate;
  private final long offsetNanos;
  private final long wallClockErrorMillis;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private boolean paused;
  private boolean terminated;

  /**
   * Creates the clock and scheduler of a running VM.
   *
   * @param trueTime simulated time without drift
   * @param scheduler runs tasks in simulated time
   * @param drift relative rate error of this clock, for example 0.0005; positive if it runs fast
   * @param offsetNanos reading of this clock at true time zero
   * @param wallClockErrorMillis error of the wall clock
   */
  public SimulatedVmTime(
      SimulatedClock trueTime,
      SimulatedScheduler scheduler,
      double drift,
      long offsetNanos,
      long wallClockErrorMillis) {
    this.trueTime = trueTime;
    this.scheduler = scheduler;
    this.offsetNanos = offsetNanos;
    this.wallClockErrorMillis = wallClockErrorMillis;
    rate = 1 + drift;
  }

  @Override
  public long monotonicNanos() {
    return localNanos(trueTime.monotonicNanos());
  }

  @Override
  public long epochMillis() {
    return trueTime.epochMillis() + wallClockErrorMillis;
  }

  /**
   * Converts true time to this clock.
   *
   * @param trueNanos true time
   * @return reading of this clock
   */
  public long localNanos(long trueNanos) {
    return offsetNanos + (long) (trueNanos * rate);
  }

  @Override
  public Scheduled schedule(Deadline deadline, Runnable task) {
    long trueNanos = (long) Math.ceil((deadline.nanos() - offsetNanos) / rate) + 1;
    return scheduler.schedule(new Deadline(trueNanos), () -> dispatch(task));
  }

  /**
   * Runs a task now, on resumption if the VM is paused, or never if it has terminated.
   *
   * @param task the task
   */
  public void dispatch(Runnable task) {
    if (terminated) {
      return;
    }
    if (paused) {
      deferredTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Defers all tasks until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** Runs the deferred tasks and continues. */
  public void resume() {
    paused = false;
    List<Runnable> deferred = List.copyOf(deferredTasks);
    deferredTasks.clear();
    deferred.forEach(this::dispatch);
  }

  /** Terminates the VM and discards its deferred tasks. */
  public void kill() {
    terminated = true;
    deferredTasks.clear();
  }

  /**
   * Returns whether tasks run now.
   *
   * @return false while paused and after termination
   */
  public boolean isRunning() {
    return !paused && !terminated;
  }

  /**
   * Returns whether the process exists.
   *
   * @return false after termination
   */
  public boolean isAlive() {
    return !terminated;
  }
}
