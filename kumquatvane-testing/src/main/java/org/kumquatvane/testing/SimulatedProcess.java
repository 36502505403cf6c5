package org.kumquatvane.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;

/**
 * A simulated process with its own clock and timers, driven by the clock of the test. Its clock may
 * run fast or slow. The process can be paused, with its monotonic clock running or frozen, and
 * terminated. Tasks that arrive during a pause are deferred.
 */
public final class SimulatedProcess {
  private final SimulatedClock time;
  private final SimulatedScheduler timers;
  private final double rate;
  private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
  private long frozenNanos;
  private long pausedAtNanos;
  private boolean clockFrozen;
  private boolean paused;
  private boolean terminated;

  /**
   * Creates a running process.
   *
   * @param time time of the test
   * @param timers scheduler of the test
   * @param rate speed of the monotonic clock, 1 for exact
   */
  public SimulatedProcess(SimulatedClock time, SimulatedScheduler timers, double rate) {
    this.time = time;
    this.timers = timers;
    this.rate = rate;
  }

  /**
   * Returns the clock of the process.
   *
   * @return a clock that runs at this process's rate
   */
  public Clock clock() {
    return new ProcessClock();
  }

  /**
   * Returns the timers of the process.
   *
   * @return a scheduler whose deadlines refer to this process's clock
   */
  public Scheduler scheduler() {
    return (deadline, task) -> {
      TimerHandle handle = new TimerHandle();
      arm(deadline, task, handle);
      return handle;
    };
  }

  private void arm(Deadline deadline, Runnable task, TimerHandle handle) {
    double remaining = Math.max(0, deadline.remainingNanos(clock())) / rate;
    // Rounded up, so that the process's clock has reached the deadline when the timer fires.
    Deadline due = new Deadline(time.monotonicNanos() + (long) Math.ceil(remaining) + 1);
    timers.schedule(
        due,
        () ->
            run(
                () -> {
                  if (handle.cancelled) {
                    return;
                  }
                  if (deadline.isReached(clock())) {
                    task.run();
                  } else {
                    arm(deadline, task, handle);
                  }
                }));
  }

  /**
   * Runs a task in the process; defers it while the process is paused and discards it once the
   * process has terminated.
   *
   * @param task the task
   */
  public void run(Runnable task) {
    if (paused) {
      deferredTasks.add(task);
    } else if (!terminated) {
      task.run();
    }
  }

  /**
   * Pauses the process.
   *
   * @param freezesClock whether the monotonic clock is frozen during the pause, as in a suspended
   *     guest
   */
  public void pause(boolean freezesClock) {
    pausedAtNanos = time.monotonicNanos();
    clockFrozen = freezesClock;
    paused = true;
  }

  /** Resumes the process and its clock; {@link #runDeferredTasks} then runs the deferred tasks. */
  public void resume() {
    if (paused && clockFrozen) {
      frozenNanos += time.monotonicNanos() - pausedAtNanos;
    }
    paused = false;
    clockFrozen = false;
  }

  /** Runs the tasks that arrived during a pause. */
  public void runDeferredTasks() {
    Runnable task;
    while (!paused && (task = deferredTasks.poll()) != null) {
      run(task);
    }
  }

  /** Terminates the process. */
  public void terminate() {
    terminated = true;
    deferredTasks.clear();
  }

  /**
   * Returns whether the process is running.
   *
   * @return whether it is neither paused nor terminated
   */
  public boolean isRunning() {
    return !paused && !terminated;
  }

  /**
   * Returns whether the process has terminated.
   *
   * @return whether it has terminated
   */
  public boolean isTerminated() {
    return terminated;
  }

  private static final class TimerHandle implements Scheduler.Scheduled {
    private boolean cancelled;

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  private final class ProcessClock implements Clock {
    @Override
    public long monotonicNanos() {
      long currentlyFrozen = clockFrozen ? time.monotonicNanos() - pausedAtNanos : 0;
      return (long) ((time.monotonicNanos() - frozenNanos - currentlyFrozen) * rate);
    }

    @Override
    public long epochMillis() {
      return time.epochMillis();
    }
  }

  /**
   * Returns how long the monotonic clock was frozen in completed pauses.
   *
   * @return the total time
   */
  public Duration frozenTime() {
    return Duration.ofNanos(frozenNanos);
  }
}
