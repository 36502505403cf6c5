package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Parses the header fields that determine the length of a message body. */
public final class BodyFraming {
  private static final int MAXIMUM_DECIMAL_DIGITS = 18;

  private BodyFraming() {}

  /**
   * Parses Content-Length.
   *
   * @param headers header fields
   * @return the length in bytes; empty if absent or not a decimal number
   */
  public static OptionalLong declaredLength(HttpHeaders headers) {
    long length = parseDecimal(headers.get(HttpHeaderNames.CONTENT_LENGTH));
    return length < 0 ? OptionalLong.empty() : OptionalLong.of(length);
  }

  /**
   * Parses a decimal number that consists of digits only. Signs and spaces are rejected because
   * other parsers differ in whether they accept them.
   *
   * @param text the text
   * @return the number, or -1
   */
  public static long parseDecimal(@Nullable CharSequence text) {
    if (text == null || text.length() == 0 || text.length() > MAXIMUM_DECIMAL_DIGITS) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return -1;
      }
      number = number * 10 + (digit - '0');
    }
    return number;
  }

  /**
   * Returns whether a message has a body according to its head.
   *
   * @param headers header fields
   * @return whether body bytes may follow the head
   */
  public static boolean hasBody(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        || declaredLength(headers).orElse(0) > 0;
  }
}
