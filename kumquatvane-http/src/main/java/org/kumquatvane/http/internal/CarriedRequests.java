package org.kumquatvane.http.internal;

import java.util.Arrays;
import org.kumquatvane.core.RequestId;

/**
 * The requests that a connection has carried.
 *
 * <p>Only hashes of their IDs are kept, since callers choose the IDs and their lengths. Two IDs
 * with one hash count as one request.
 *
 * <p>Not safe for use by several threads at once: a connection carries one request at a time and
 * changes hands under the lock of its pool. The event loop reads while a response is received,
 * after the request was added and before the next one is.
 */
final class CarriedRequests {
  private static final int INITIAL_CAPACITY = 8;

  /** Bounds the memory to 4 KB for each connection, and the length of a look-up. */
  private static final int MAXIMUM_COUNT = 1 << 10;

  private int[] hashes = new int[INITIAL_CAPACITY];
  private int count;
  private boolean hasHeadRequest;

  /** Returns whether the connection has carried the request, or one with the same hash. */
  boolean contains(RequestId id) {
    int hash = id.hashCode();
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds a request.
   *
   * @param id the request
   * @param isHeadRequest whether its response has no body
   * @throws IllegalStateException if it has been added before, or the maximum has been reached
   */
  void add(RequestId id, boolean isHeadRequest) {
    if (contains(id) || isFull()) {
      throw new IllegalStateException("the connection cannot carry request " + id);
    }
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, Math.min(MAXIMUM_COUNT, 2 * count));
    }
    hashes[count++] = id.hashCode();
    hasHeadRequest |= isHeadRequest;
  }

  /** Returns whether one of the requests was of the method HEAD. */
  boolean hasHeadRequest() {
    return hasHeadRequest;
  }

  /** Returns whether no further request can be added. */
  boolean isFull() {
    return count == MAXIMUM_COUNT;
  }

  /** Returns the number of requests that the connection has carried. */
  int count() {
    return count;
  }
}
