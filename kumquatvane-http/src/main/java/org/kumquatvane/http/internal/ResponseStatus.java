package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpResponseStatus;

/**
 * The statuses that make bytes a response. HTTP/1.1 defines 100 to 599; a number outside that range
 * has no meaning that a caller could act on, so it is no response, like a status line without one.
 */
final class ResponseStatus {
  /** Result for text that is no status. */
  static final int INVALID = -1;

  /** Number of characters of a status. */
  static final int LENGTH = 3;

  private static final int FIRST = 100;
  private static final int FIRST_FINAL = 200;
  private static final int LAST = 599;
  private static final int DECIMAL = 10;

  private ResponseStatus() {}

  /**
   * Reads a status.
   *
   * @param text text that contains the status
   * @param index index of its first digit
   * @return the status, or {@link #INVALID}
   */
  static int parse(String text, int index) {
    if (!isNumber(text, index)) {
      return INVALID;
    }
    int status = 0;
    for (int i = 0; i < LENGTH; i++) {
      status = status * DECIMAL + text.charAt(index + i) - '0';
    }
    return status >= FIRST && status <= LAST ? status : INVALID;
  }

  /**
   * Tells whether text has the form of a status, whatever its value.
   *
   * @param text the text
   * @param index index at which the status begins
   * @return whether there are three digits
   */
  static boolean isNumber(String text, int index) {
    if (text.length() < index + LENGTH) {
      return false;
    }
    return text.substring(index, index + LENGTH)
        .chars()
        .allMatch(character -> character >= '0' && character <= '9');
  }

  /**
   * Tells whether another response to the same request follows.
   *
   * @param status a valid status
   * @return whether the response is an interim one
   */
  static boolean isInterim(int status) {
    return status < FIRST_FINAL && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
  }

  /**
   * Tells whether the response is the answer to its request.
   *
   * @param status a valid status
   * @return whether it is a final one
   */
  static boolean isFinal(int status) {
    return status >= FIRST_FINAL;
  }
}
