package org.kumquatvane.engine.internal;

import org.kumquatvane.admission.WaitingRequest;
import org.kumquatvane.selection.Reservation;
import org.kumquatvane.selection.SlotRequirements;

/** A queued request that can be assigned a slot. */
interface SlotWaiter extends WaitingRequest {
  /**
   * Returns what the request needs of a slot.
   *
   * @return the need, as it is now
   */
  SlotRequirements slotRequirements();

  /**
   * Starts the request on a slot, which the request must release.
   *
   * @param reservation the slot
   */
  void onSlotGranted(Reservation reservation);
}
