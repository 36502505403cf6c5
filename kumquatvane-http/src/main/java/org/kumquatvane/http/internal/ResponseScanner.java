package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.servicetalk.http.api.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * Scans one response, including the interim responses before it. Each call to {@code scan} stops
 * after an interim response.
 */
final class ResponseScanner implements MessageScanner {
  private final boolean isHeadRequest;
  private final String requestIdField;
  private ResponseHeadScanner head;
  private MessageScanner current;
  private @Nullable ResponseHeadScanner finalHead;

  /**
   * Creates a scanner.
   *
   * @param isHeadRequest whether the response has no body whatever its head declares
   * @param requestIdField name of the field that names the request
   */
  ResponseScanner(boolean isHeadRequest, String requestIdField) {
    this.isHeadRequest = isHeadRequest;
    this.requestIdField = requestIdField;
    head = new ResponseHeadScanner(requestIdField);
    current = head;
  }

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    int index = from;
    while (index < end && state() == State.OPEN) {
      index = current.scan(bytes, index, end);
      if (current == head && head.state() == State.COMPLETE) {
        acceptHead();
        if (current == head) {
          return index;
        }
      }
    }
    return index;
  }

  @Override
  public State state() {
    return current.state();
  }

  /** Returns whether bytes of a head have been scanned, but not its end. */
  boolean isWithinHead() {
    return current == head && head.hasBytes();
  }

  /** Returns the head of the response, not of an interim one; null until it is complete. */
  @Nullable ResponseHeadScanner finalHead() {
    return finalHead;
  }

  private void acceptHead() {
    if (ResponseStatus.isFinal(head.status())) {
      finalHead = head;
      current = bodyScanner();
    } else if (ResponseStatus.isInterim(head.status())) {
      head = new ResponseHeadScanner(requestIdField);
      current = head;
    } else {
      // No request asks for another protocol, so the bytes that follow have no known form.
      current = new MalformedScanner();
    }
  }

  private MessageScanner bodyScanner() {
    int status = head.status();
    if (isHeadRequest
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code()) {
      return new FixedLengthScanner(0);
    }
    if (head.isChunked()) {
      return new ChunkedBodyScanner();
    }
    return head.declaredLength().isPresent()
        ? new FixedLengthScanner(head.declaredLength().getAsLong())
        : new UntilCloseScanner();
  }

  /** Accepts no bytes. */
  private static final class MalformedScanner implements MessageScanner {
    @Override
    public int scan(ByteBuf bytes, int from, int end) {
      return from;
    }

    @Override
    public State state() {
      return State.MALFORMED;
    }
  }
}
