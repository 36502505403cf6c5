package org.kumquatvane.engine.internal;

import java.util.Optional;
import org.kumquatvane.admission.AdmissionQueue;
import org.kumquatvane.admission.GrantedSlot;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.selection.InstancePool;
import org.kumquatvane.selection.Reservation;

/** Assigns free slots to queued requests. */
public final class SlotDispatcher {
  private final AdmissionQueue queue;
  private final InstancePool instances;

  /**
   * Creates a dispatcher.
   *
   * @param queue queued requests, all of them created by this package
   * @param instances pool that provides the slots
   */
  public SlotDispatcher(AdmissionQueue queue, InstancePool instances) {
    this.queue = queue;
    this.instances = instances;
  }

  /**
   * Assigns free slots of a service to queued requests until either runs out.
   *
   * @param service the service
   */
  public void dispatch(ServiceName service) {
    while (queue.waitingCount(service) > 0) {
      Optional<GrantedSlot<Reservation>> granted =
          queue.grant(
              service,
              request -> instances.reserve(service, ((SlotWaiter) request).slotRequirements()));
      if (granted.isEmpty()) {
        return;
      }
      ((SlotWaiter) granted.get().request()).onSlotGranted(granted.get().slot());
    }
  }
}
