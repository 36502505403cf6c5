package org.kumquatvane.selection;

/**
 * Limits the slots of a service that this VM uses concurrently, so that under overload requests
 * wait in the fair queue of this VM and not in the queues of the instances. Guarded by the pool's
 * lock.
 */
public interface SlotLimit {
  /**
   * Returns whether another slot can be acquired.
   *
   * @param inUse slots of the service that this VM uses
   * @return whether another can be acquired
   */
  boolean canAcquire(int inUse);

  /**
   * Records that an instance shed a request.
   *
   * @param inUse slots of the service that this VM uses
   */
  void onShed(int inUse);

  /**
   * Records the release of a slot after an attempt that the instance did not shed.
   *
   * @param inUse slots of the service that this VM used before the release
   */
  void onReleased(int inUse);
}
