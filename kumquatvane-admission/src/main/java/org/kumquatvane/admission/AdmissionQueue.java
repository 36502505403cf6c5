package org.kumquatvane.admission;

import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.WorkspaceId;

/** Requests that wait for a slot of a service. */
public interface AdmissionQueue {
  /**
   * Adds a request.
   *
   * @param service the service
   * @param request the request
   * @return empty if it waits now, or the reason for which it is refused at once
   */
  Optional<Reason> enqueue(ServiceName service, WaitingRequest request);

  /**
   * Removes the request that gets the next free slot. Requests whose deadline has passed are
   * removed and told on the way.
   *
   * @param service the service
   * @return the request, or empty if none waits
   */
  Optional<WaitingRequest> pollNext(ServiceName service);

  /**
   * Removes the first request, in the order of the queue, for which a slot is found.
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
   * Removes a request whose caller has left.
   *
   * @param service the service
   * @param request the request
   * @return whether it was still waiting
   */
  boolean remove(ServiceName service, WaitingRequest request);

  /**
   * Charges a workspace for slot time it has used.
   *
   * @param service the service
   * @param workspace the workspace
   * @param slotNanos time for which the slot was held
   */
  void charge(ServiceName service, WorkspaceId workspace, long slotNanos);

  /**
   * Returns how many requests wait.
   *
   * @param service the service
   * @return waiting requests
   */
  int waitingCount(ServiceName service);

  /**
   * Returns until when it is of use that a request waits.
   *
   * @param service the service
   * @param request the request
   * @return its deadline less the least time in which its work may end
   */
  Deadline latestUsefulStart(ServiceName service, WaitingRequest request);
}
