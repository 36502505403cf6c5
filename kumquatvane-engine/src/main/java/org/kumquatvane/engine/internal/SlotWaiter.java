package org.kumquatvane.engine.internal;

import org.kumquatvane.admission.WaitingRequest;
import org.kumquatvane.selection.Reservation;

/** A waiting request that can be given a slot. */
interface SlotWaiter extends WaitingRequest {
  /**
   * Starts the request on a slot, which it must give back.
   *
   * @param reservation the slot
   */
  void granted(Reservation reservation);
}
