package org.kumquatvane.testing;

import java.time.Duration;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Scheduler;

/** Scheduler that runs due tasks, in order of their deadlines, while a test advances the clock. */
public final class SimulatedScheduler implements Scheduler {
  private final SimulatedClock clock;
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long sequence;

  /**
   * Creates a scheduler without tasks.
   *
   * @param clock the clock that {@link #advance} moves
   */
  public SimulatedScheduler(SimulatedClock clock) {
    this.clock = clock;
  }

  @Override
  public Scheduled schedule(Deadline deadline, Runnable task) {
    Entry entry = new Entry(deadline.nanos(), sequence++, task);
    entries.add(entry);
    return () -> entries.remove(entry);
  }

  /**
   * Advances the clock step by step and runs each task at its deadline.
   *
   * @param duration time to advance
   */
  public void advance(Duration duration) {
    long end = clock.monotonicNanos() + duration.toNanos();
    @Nullable Entry next;
    while ((next = entries.peek()) != null && next.nanos <= end) {
      entries.remove(next);
      clock.advanceTo(next.nanos);
      next.task.run();
    }
    clock.advanceTo(end);
  }

  /**
   * Returns the number of tasks that have not run.
   *
   * @return pending tasks
   */
  public int pending() {
    return entries.size();
  }

  private record Entry(long nanos, long sequence, Runnable task) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
