package org.kumquatvane.membership.testing;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/** Time of one logical VM: a clock that drifts, and tasks that wait while the VM is paused. */
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
   * Creates the time of a running VM.
   *
   * @param trueTime true time
   * @param scheduler runs tasks in true time
   * @param drift part by which this clock runs fast, for example 0.0005
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
   * Runs a task now, on resumption if the VM is paused, or never if it is dead.
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

  /** Stops all tasks until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** Runs what was held back, late, and continues. */
  public void resume() {
    paused = false;
    List<Runnable> deferred = List.copyOf(deferredTasks);
    deferredTasks.clear();
    deferred.forEach(this::dispatch);
  }

  /** Ends the VM for good. */
  public void kill() {
    terminated = true;
    deferredTasks.clear();
  }

  /**
   * Tells whether tasks run now.
   *
   * @return false while paused and after the end
   */
  public boolean isRunning() {
    return !paused && !terminated;
  }

  /**
   * Tells whether the process exists.
   *
   * @return false after the end
   */
  public boolean isAlive() {
    return !terminated;
  }
}
