package org.kumquatvane.admission;

/**
 * A waiting request together with the slot that was found for it.
 *
 * @param request the request, which no longer waits
 * @param slot the slot
 * @param <S> type of the slot
 */
public record GrantedSlot<S>(WaitingRequest request, S slot) {}
