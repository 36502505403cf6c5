package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.servicetalk.http.api.HttpResponseStatus;

/** Scans the response to one request, including the interim responses before it. */
final class ResponseScanner implements MessageScanner {
  private static final int FIRST_FINAL_STATUS = 200;

  private final boolean isHeadRequest;
  private ResponseHeadScanner head = new ResponseHeadScanner();
  private MessageScanner current = head;

  /**
   * Creates a scanner.
   *
   * @param isHeadRequest whether the response has no body whatever its head declares
   */
  ResponseScanner(boolean isHeadRequest) {
    this.isHeadRequest = isHeadRequest;
  }

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    int index = from;
    while (index < end && state() == State.OPEN) {
      index = current.scan(bytes, index, end);
      if (current == head && head.state() == State.COMPLETE) {
        acceptHead();
      }
    }
    return index;
  }

  @Override
  public State state() {
    return current.state();
  }

  private void acceptHead() {
    if (head.status() >= FIRST_FINAL_STATUS) {
      current = bodyScanner();
    } else if (head.status() != HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      head = new ResponseHeadScanner();
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
