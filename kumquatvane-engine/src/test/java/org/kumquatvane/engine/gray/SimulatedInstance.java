package org.kumquatvane.engine.gray;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/** Instance with slots and a short queue; sheds requests that do not fit. */
final class SimulatedInstance {
  private static final int QUEUE_LENGTH_PER_SLOT = 4;

  private final SimulatedClock clock;
  private final SimulatedScheduler scheduler;
  private final int slots;
  private final Deque<Work> queue = new ArrayDeque<>();
  private int running;

  SimulatedInstance(SimulatedClock clock, SimulatedScheduler scheduler, int slots) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.slots = slots;
  }

  /** Accepts work, or returns false if slots and queue are full. */
  boolean offer(Work work) {
    if (running >= slots && queue.size() >= QUEUE_LENGTH_PER_SLOT * slots) {
      return false;
    }
    queue.addLast(work);
    startNext();
    return true;
  }

  private void startNext() {
    while (running < slots && !queue.isEmpty()) {
      Work work = queue.removeFirst();
      if (work.cancelled) {
        continue;
      }
      running++;
      work.startedNanos = clock.monotonicNanos();
      work.started.run();
      if (!work.hangs) {
        scheduler.schedule(Deadline.after(clock, work.serviceTime), () -> end(work, true));
      }
    }
  }

  /** Cancels work; work that continues in spite of the cancellation uses its slot to the end. */
  void cancel(Work work, boolean runsOn) {
    work.cancelled = true;
    if (work.startedNanos >= 0 && (work.hangs || !runsOn)) {
      end(work, false);
    }
  }

  private void end(Work work, boolean complete) {
    if (work.ended) {
      return;
    }
    work.ended = true;
    running--;
    work.slotTime.accept(clock.monotonicNanos() - work.startedNanos);
    if (complete) {
      work.completed.run();
    }
    startNext();
  }

  /** One request at an instance. */
  static final class Work {
    final Duration serviceTime;
    final boolean hangs;
    final Runnable started;
    final Runnable completed;
    final java.util.function.LongConsumer slotTime;
    private long startedNanos = -1;
    private boolean cancelled;
    private boolean ended;

    Work(
        Duration serviceTime,
        boolean hangs,
        Runnable started,
        Runnable completed,
        java.util.function.LongConsumer slotTime) {
      this.serviceTime = serviceTime;
      this.hangs = hangs;
      this.started = started;
      this.completed = completed;
      this.slotTime = slotTime;
    }
  }
}
