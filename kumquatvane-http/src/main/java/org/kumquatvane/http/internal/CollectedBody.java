package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Body that is collected in parts. Memory is reserved before it is allocated, so that the parts of
 * all bodies of a VM stay within its budget; they are never copied into larger arrays.
 */
final class CollectedBody {
  /**
   * Maximum size of a part. A caller that does not read must not take more than one of them into
   * the memory of its connection.
   */
  private static final int MAXIMUM_PART_BYTES = 16 << 10;

  /** Size of the first part of a body without a declared length; most have a few hundred bytes. */
  private static final int FIRST_PART_BYTES = 1 << 10;

  /** Maximum size of a body without a declared length; downloads have up to 540 KB. */
  private static final int MAXIMUM_UNDECLARED_BYTES = 1 << 20;

  private final BufferReservation reservation;
  private final OptionalLong declaredLength;
  private final List<byte[]> parts = new ArrayList<>();
  private int length;
  private int freeInLastPart;
  private boolean cleared;

  /**
   * Creates an empty body.
   *
   * @param reservation memory of the parts; that of a declared length is reserved already
   * @param declaredLength declared length in bytes; empty if none is declared
   */
  CollectedBody(BufferReservation reservation, OptionalLong declaredLength) {
    this.reservation = reservation;
    this.declaredLength = declaredLength;
  }

  /**
   * Appends all bytes of a buffer.
   *
   * @throws IllegalStateException if the body is too long or has been cleared
   */
  synchronized void append(Buffer received) {
    while (received.readableBytes() > 0) {
      if (freeInLastPart == 0) {
        addPart();
      }
      byte[] part = parts.get(parts.size() - 1);
      int copied = Math.min(freeInLastPart, received.readableBytes());
      received.readBytes(part, part.length - freeInLastPart, copied);
      freeInLastPart -= copied;
      length += copied;
    }
  }

  private void addPart() {
    long limit = declaredLength.orElse(MAXIMUM_UNDECLARED_BYTES);
    int wanted = parts.isEmpty() ? FIRST_PART_BYTES : MAXIMUM_PART_BYTES;
    int size =
        (int) Math.min(limit - length, declaredLength.isPresent() ? MAXIMUM_PART_BYTES : wanted);
    if (cleared || size <= 0 || (declaredLength.isEmpty() && !reservation.grow(size))) {
      throw new IllegalStateException("the response is too long to be buffered");
    }
    parts.add(new byte[size]);
    freeInLastPart = size;
  }

  /** Returns whether the body has its declared length, if there is one. */
  synchronized boolean isComplete() {
    return declaredLength.isEmpty() || declaredLength.getAsLong() == length;
  }

  /** Drops the parts, since an abandoned attempt may keep a reference for some time. */
  synchronized void clear() {
    cleared = true;
    parts.clear();
    freeInLastPart = 0;
    length = 0;
  }

  /** Returns a copy of all bytes. */
  synchronized byte[] toBytes() {
    byte[] bytes = new byte[length];
    int position = 0;
    for (byte[] part : parts) {
      int copied = Math.min(part.length, length - position);
      System.arraycopy(part, 0, bytes, position, copied);
      position += copied;
    }
    return bytes;
  }

  /** Returns the bytes without copying them. */
  synchronized Publisher<Buffer> publish(BufferAllocator allocator) {
    List<Buffer> buffers = new ArrayList<>(parts.size());
    int left = length;
    for (byte[] part : parts) {
      buffers.add(allocator.wrap(part, 0, Math.min(part.length, left)));
      left -= part.length;
    }
    return buffers.size() == 1 ? Publisher.from(buffers.get(0)) : Publisher.fromIterable(buffers);
  }
}
