package org.kumquatvane.admission;

import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;

/** Queue of requests that wait for a slot of a service. */
public interface AdmissionQueue {
  /**
   * Adds a request.
   *
   * @param service the service
   * @param request the request
   * @return empty if it was queued, or the reason for its immediate refusal
   */
  Optional<Reason> enqueue(ServiceName service, WaitingRequest request);

  /**
   * Removes the request that gets the next free slot. Requests that it finds expired are removed
   * and notified.
   *
   * @param service the service
   * @return the request, or empty if none is waiting
   */
  Optional<WaitingRequest> pollNext(ServiceName service);

  /**
   * Removes the request that gets the next free slot if a slot is found for it, and otherwise
   * leaves it in the queue.
   *
   * @param service the service
   * @param slots finds a slot for a request; called under the queue's lock, so it may take locks of
   *     a higher rank only
   * @param <S> type of the slots
   * @return the request and its slot, or empty
   */
  <S> Optional<GrantedSlot<S>> grant(
      ServiceName service, Function<WaitingRequest, Optional<S>> slots);

  /**
   * Removes a request whose caller has disconnected.
   *
   * @param service the service
   * @param request the request
   * @return whether it was still waiting
   */
  boolean remove(ServiceName service, WaitingRequest request);

  /**
   * Charges a workspace for used slot time.
   *
   * @param service the service
   * @param workspace the workspace
   * @param slotNanos time for which the slot was held
   */
  void charge(ServiceName service, WorkspaceId workspace, long slotNanos);

  /**
   * Reverts the provisional charge of a workspace for a slot in which no work was done. Unlike a
   * charge of 0, it leaves the average slot time as it is.
   *
   * @param service the service
   * @param workspace the workspace
   */
  void refund(ServiceName service, WorkspaceId workspace);

  /**
   * Returns the number of waiting requests.
   *
   * @param service the service
   * @return waiting requests
   */
  int waitingCount(ServiceName service);

  /**
   * Returns the latest time at which starting a request is still useful.
   *
   * @param service the service
   * @param request the request
   * @return its deadline less the minimum time that its processing may take
   */
  Deadline latestUsefulStart(ServiceName service, WaitingRequest request);
}
