package org.kumquatvane.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;

/**
 * A process with its own clock and timers over the logical time of a test. Its clock may run fast
 * or slow; the process can be paused, with its monotonic clock running on or standing still, and
 * ended. Work that arrives during a pause runs when the process resumes.
 */
public final class LogicalProcess {
  private final LogicalClock time;
  private final LogicalScheduler timers;
  private final double rate;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private long stoodStillNanos;
  private long pausedAtNanos;
  private boolean clockStopped;
  private boolean paused;
  private boolean ended;

  /**
   * Creates a running process.
   *
   * @param time time of the test
   * @param timers scheduler of the test
   * @param rate speed of the monotonic clock, 1 for exact
   */
  public LogicalProcess(LogicalClock time, LogicalScheduler timers, double rate) {
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
   * @return a scheduler whose deadlines lie on this process's clock
   */
  public Scheduler scheduler() {
    return (deadline, task) -> {
      Handle handle = new Handle();
      arm(deadline, task, handle);
      return handle;
    };
  }

  private void arm(Deadline deadline, Runnable task, Handle handle) {
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
   * Runs a task in the process: now, on resumption, or never if the process has ended.
   *
   * @param task the task
   */
  public void run(Runnable task) {
    if (paused) {
      waiting.add(task);
    } else if (!ended) {
      task.run();
    }
  }

  /**
   * Pauses the process.
   *
   * @param clockStops whether its monotonic clock stands still meanwhile, as in a suspended guest
   */
  public void pause(boolean clockStops) {
    pausedAtNanos = time.monotonicNanos();
    clockStopped = clockStops;
    paused = true;
  }

  /** Lets the clock run again; {@link #runWaiting} then runs what has arrived. */
  public void resume() {
    if (paused && clockStopped) {
      stoodStillNanos += time.monotonicNanos() - pausedAtNanos;
    }
    paused = false;
    clockStopped = false;
  }

  /** Runs the work that arrived during a pause. */
  public void runWaiting() {
    Runnable task;
    while (!paused && (task = waiting.poll()) != null) {
      run(task);
    }
  }

  /** Ends the process. */
  public void end() {
    ended = true;
    waiting.clear();
  }

  /**
   * Tells whether the process executes at this moment.
   *
   * @return whether it is neither paused nor ended
   */
  public boolean isRunning() {
    return !paused && !ended;
  }

  /**
   * Tells whether the process has ended.
   *
   * @return whether it has ended
   */
  public boolean isEnded() {
    return ended;
  }

  private static final class Handle implements Scheduler.Scheduled {
    private boolean cancelled;

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  private final class ProcessClock implements Clock {
    @Override
    public long monotonicNanos() {
      long stopped = clockStopped ? time.monotonicNanos() - pausedAtNanos : 0;
      return (long) ((time.monotonicNanos() - stoodStillNanos - stopped) * rate);
    }

    @Override
    public long epochMillis() {
      return time.epochMillis();
    }
  }

  /**
   * Returns how long the monotonic clock has stood still in ended pauses.
   *
   * @return the total time
   */
  public Duration stoodStill() {
    return Duration.ofNanos(stoodStillNanos);
  }
}
