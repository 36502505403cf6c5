package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.RequestId;

/**
 * Finds the response to a request in the bytes of its connection. A whole response that names an
 * earlier request of the connection may arrive in its place, since backend servers may respond
 * twice, the second time late. It is dropped, and the next response is read.
 *
 * <p>That the ID tells the responses apart relies on connections that carry each request once.
 */
final class EarlierResponseFilter {
  private final ExpectedResponse expected;
  private final CarriedRequests carried;
  private ResponseScanner scanner;
  private boolean isDecided;
  private boolean isDropping;

  /** Bytes of a head that is not complete yet; null if there are none. */
  private @Nullable ByteBuf head;

  private long droppedBytes;

  /**
   * Creates a filter.
   *
   * @param expected the response to find
   * @param carried the requests of the connection, the present one included
   */
  EarlierResponseFilter(ExpectedResponse expected, CarriedRequests carried) {
    this.expected = expected;
    this.carried = carried;
    scanner = newScanner();
  }

  private ResponseScanner newScanner() {
    return new ResponseScanner(expected.isHeadRequest(), expected.requestIdField());
  }

  /**
   * Scans received bytes until the response ends or is malformed.
   *
   * @param bytes the bytes, whose reader index is not changed
   * @param passOn receives, and releases, the bytes of the response
   * @return index after the last byte that belongs to the response or was dropped
   */
  int scan(ByteBuf bytes, Consumer<ByteBuf> passOn) {
    int index = bytes.readerIndex();
    int end = bytes.writerIndex();
    while (index < end && state() == MessageScanner.State.OPEN) {
      int start = index;
      index = scanner.scan(bytes, start, end);
      if (state() != MessageScanner.State.MALFORMED) {
        acceptPart(bytes.slice(start, index - start), passOn);
      }
    }
    return index;
  }

  /** Accepts bytes of one response, which end with them or with its head, or continue. */
  private void acceptPart(ByteBuf part, Consumer<ByteBuf> passOn) {
    if (!isDecided && scanner.isWithinHead()) {
      keep(part);
      return;
    }
    if (!isDecided && scanner.finalHead() != null) {
      isDecided = true;
      isDropping = isEarlierResponse();
    }
    if (isDropping) {
      drop(part);
      return;
    }
    ByteBuf kept = head;
    if (kept != null) {
      head = null;
      passOn.accept(kept);
    }
    passOn.accept(part.retain());
  }

  private void keep(ByteBuf part) {
    ByteBuf kept = head;
    if (kept == null) {
      kept = Unpooled.buffer(part.readableBytes());
      head = kept;
    }
    kept.writeBytes(part);
  }

  private void drop(ByteBuf part) {
    droppedBytes += part.readableBytes();
    ByteBuf kept = head;
    if (kept != null) {
      droppedBytes += kept.readableBytes();
      release();
    }
    if (state() == MessageScanner.State.COMPLETE) {
      scanner = newScanner();
      isDecided = false;
      isDropping = false;
    }
  }

  /** A response whose end depends on its unknown request, or on the connection, is passed on. */
  private boolean isEarlierResponse() {
    ResponseHeadScanner complete = scanner.finalHead();
    if (complete == null || carried.hasHeadRequest() || !complete.isFramed()) {
      return false;
    }
    String named = complete.requestId();
    return named != null
        && !named.equals(expected.request().value())
        && carried.contains(new RequestId(named));
  }

  /** Returns how far the response has been scanned. */
  MessageScanner.State state() {
    return scanner.state();
  }

  /** Returns the number of bytes of earlier responses that were dropped. */
  long droppedBytes() {
    return droppedBytes;
  }

  /** Releases the bytes of an unfinished head. */
  void release() {
    ByteBuf kept = head;
    if (kept != null) {
      head = null;
      kept.release();
    }
  }
}
