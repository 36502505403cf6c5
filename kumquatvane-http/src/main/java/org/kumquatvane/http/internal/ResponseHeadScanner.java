package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Scans the head of a response: status, length and transfer coding. It is stricter than the HTTP
 * decoder, since what one of them takes for the end of a message the other must not take for a part
 * of it.
 */
final class ResponseHeadScanner implements MessageScanner {
  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_INDEX = "HTTP/1.1 ".length();
  private static final int STATUS_END = STATUS_INDEX + ResponseStatus.LENGTH;
  private static final int DECIMAL = 10;

  private final String requestIdField;
  private final LineScanner lines = new LineScanner();
  private boolean hasBytes;
  private boolean hasStatusLine;
  private int status;
  private OptionalLong declaredLength = OptionalLong.empty();
  private boolean isChunked;
  private @Nullable String requestId;
  private boolean hasSeveralRequestIds;
  private State state = State.OPEN;

  /**
   * Creates a scanner.
   *
   * @param requestIdField name of the field that names the request
   */
  ResponseHeadScanner(String requestIdField) {
    this.requestIdField = requestIdField;
  }

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    int index = from;
    hasBytes |= from < end;
    while (index < end && state == State.OPEN) {
      index = lines.scan(bytes, index, end);
      if (lines.state() == State.MALFORMED) {
        state = State.MALFORMED;
      } else if (lines.state() == State.COMPLETE) {
        acceptLine(lines.takeLine());
      }
    }
    return index;
  }

  @Override
  public State state() {
    return state;
  }

  /** Returns the status; valid when the head is complete. */
  int status() {
    return status;
  }

  /** Returns the declared length of the body in bytes, if there is one. */
  OptionalLong declaredLength() {
    return declaredLength;
  }

  /** Returns whether the body is sent in chunks. */
  boolean isChunked() {
    return isChunked;
  }

  /** Returns whether the end of the body does not depend on the end of the connection. */
  boolean isFramed() {
    return isChunked
        || declaredLength.isPresent()
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }

  /** Returns the ID of the request that the head names; null unless it names exactly one. */
  @Nullable String requestId() {
    return hasSeveralRequestIds ? null : requestId;
  }

  /** Returns whether a byte has been scanned. */
  boolean hasBytes() {
    return hasBytes;
  }

  private void acceptLine(String line) {
    if (!hasStatusLine) {
      hasStatusLine = true;
      status = parseStatus(line);
      if (status == ResponseStatus.INVALID || containsStatusLine(line, 1)) {
        state = State.MALFORMED;
      }
    } else if (line.isEmpty()) {
      state = isChunked && declaredLength.isPresent() ? State.MALFORMED : State.COMPLETE;
    } else if (!acceptField(line)) {
      state = State.MALFORMED;
    }
  }

  private boolean acceptField(String line) {
    if (!isFieldLine(line)) {
      return false;
    }
    int colon = line.indexOf(':');
    String name = line.substring(0, colon);
    if (HttpHeaderNames.CONTENT_LENGTH.toString().equalsIgnoreCase(name)) {
      long length = BodyFraming.parseDecimal(line.substring(colon + 1).trim());
      boolean isRepeated = declaredLength.isPresent();
      declaredLength = OptionalLong.of(length);
      return length >= 0 && !isRepeated;
    }
    if (HttpHeaderNames.TRANSFER_ENCODING.toString().equalsIgnoreCase(name)) {
      boolean isRepeated = isChunked;
      isChunked = "chunked".equalsIgnoreCase(line.substring(colon + 1).trim());
      return isChunked && !isRepeated;
    }
    if (requestIdField.equalsIgnoreCase(name)) {
      hasSeveralRequestIds = requestId != null;
      requestId = line.substring(colon + 1).trim();
    }
    return true;
  }

  /**
   * Tells whether a line is a header field. A field that contains a status line is the unfinished
   * end of one response, joined with the beginning of the next.
   */
  static boolean isFieldLine(String line) {
    int colon = line.indexOf(':');
    if (colon <= 0 || containsStatusLine(line, colon)) {
      return false;
    }
    for (int i = 0; i < colon; i++) {
      char character = line.charAt(i);
      if (character <= ' ' || character > '~') {
        return false;
      }
    }
    return true;
  }

  private static int parseStatus(String line) {
    if (!isStatusLineAt(line, 0)
        || (line.length() > STATUS_END && line.charAt(STATUS_END) != ' ')) {
      return ResponseStatus.INVALID;
    }
    return ResponseStatus.parse(line, STATUS_INDEX);
  }

  private static boolean containsStatusLine(String line, int from) {
    int index = line.indexOf(VERSION, from);
    while (index >= 0) {
      if (isStatusLineAt(line, index)) {
        return true;
      }
      index = line.indexOf(VERSION, index + 1);
    }
    return false;
  }

  private static boolean isStatusLineAt(String line, int index) {
    if (line.length() < index + STATUS_END
        || !line.startsWith(VERSION, index)
        || line.charAt(index + STATUS_INDEX - 1) != ' ') {
      return false;
    }
    return isDigit(line.charAt(index + VERSION.length()))
        && ResponseStatus.isNumber(line, index + STATUS_INDEX);
  }

  private static boolean isDigit(char character) {
    int digit = character - '0';
    return digit >= 0 && digit < DECIMAL;
  }
}
