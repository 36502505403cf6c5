package org.kumquatvane.selection;

/**
 * Limits the slots of a service that this VM uses at once, so that under overload requests wait in
 * this VM's fair queue and not in the instances' queues. Guarded by the pool's lock.
 */
public interface SlotLimit {
  /**
   * Tells whether one more slot may be taken.
   *
   * @param inUse slots of the service that this VM uses
   * @return whether it may take another
   */
  boolean canAcquire(int inUse);

  /**
   * Takes note of an instance that refused work.
   *
   * @param inUse slots of the service that this VM uses
   */
  void onShed(int inUse);

  /**
   * Takes note of a slot that was given back after an attempt that was not refused.
   *
   * @param inUse slots that this VM used before
   */
  void onReleased(int inUse);
}
