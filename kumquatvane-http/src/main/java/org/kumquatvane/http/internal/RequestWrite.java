package org.kumquatvane.http.internal;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The writing of one request: it is begun or withdrawn, whichever comes first, and never both. A
 * request that counts as not written could otherwise run after it was sent to another server.
 */
final class RequestWrite {
  private enum State {
    PENDING,
    BEGUN,
    WITHDRAWN
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);
  private final EarlierResponseFilter response;

  /**
   * Creates the writing of a request of which no byte has been written.
   *
   * @param response finds its response
   */
  RequestWrite(EarlierResponseFilter response) {
    this.response = response;
  }

  /** Called before the first byte is written; returns whether this call has begun the writing. */
  boolean begin() {
    return state.compareAndSet(State.PENDING, State.BEGUN);
  }

  /** Returns whether no byte has been written; from then on none may be. */
  boolean withdraw() {
    return state.compareAndSet(State.PENDING, State.WITHDRAWN) || isWithdrawn();
  }

  boolean isWithdrawn() {
    return state.get() == State.WITHDRAWN;
  }

  EarlierResponseFilter response() {
    return response;
  }
}
