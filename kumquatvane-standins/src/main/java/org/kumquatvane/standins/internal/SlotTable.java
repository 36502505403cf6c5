package org.kumquatvane.standins.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/** Slots of an instance with a bounded queue of waiting requests. */
public final class SlotTable {
  private final Deque<SlotRequest> waiting = new ArrayDeque<>();
  private int used;
  private int peak;

  /** A request for a slot. */
  public final class SlotRequest {
    private final CompletableFuture<Boolean> granted = new CompletableFuture<>();
    private boolean holdsSlot;

    private SlotRequest() {}

    /**
     * Returns a future that completes with true once the slot is held, or with false if the queue
     * is full.
     *
     * @return the future
     */
    public CompletableFuture<Boolean> granted() {
      return granted;
    }

    /** Releases the slot or removes the request from the queue; repeated calls have no effect. */
    public void release() {
      SlotRequest next = null;
      synchronized (SlotTable.this) {
        waiting.remove(this);
        if (holdsSlot) {
          holdsSlot = false;
          next = waiting.poll();
          if (next == null) {
            used--;
          } else {
            next.holdsSlot = true;
          }
        }
      }
      if (next != null) {
        next.granted.complete(true);
      }
    }
  }

  /**
   * Requests a slot.
   *
   * @param slots number of slots
   * @param queueLimit number of requests that may wait
   * @return the request
   */
  public SlotRequest acquire(int slots, int queueLimit) {
    SlotRequest slotRequest = new SlotRequest();
    boolean queued = false;
    synchronized (this) {
      if (used < slots) {
        used++;
        peak = Math.max(peak, used);
        slotRequest.holdsSlot = true;
      } else if (waiting.size() < queueLimit) {
        waiting.add(slotRequest);
        queued = true;
      }
    }
    if (!queued) {
      slotRequest.granted.complete(slotRequest.holdsSlot);
    }
    return slotRequest;
  }

  /**
   * Returns the number of slots in use.
   *
   * @return a count
   */
  public synchronized int slotsInUse() {
    return used;
  }

  /**
   * Returns the highest number of slots in use at once.
   *
   * @return a count
   */
  public synchronized int peakSlotsInUse() {
    return peak;
  }

  /**
   * Returns the number of requests that wait.
   *
   * @return a count
   */
  public synchronized int waitingCount() {
    return waiting.size();
  }
}
