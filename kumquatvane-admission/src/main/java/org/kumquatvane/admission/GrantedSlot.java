package org.kumquatvane.admission;

/**
 * A request from the queue and the slot reserved for it.
 *
 * @param request the request, which has been removed from the queue
 * @param slot the slot
 * @param <S> type of the slot
 */
public record GrantedSlot<S>(WaitingRequest request, S slot) {}
