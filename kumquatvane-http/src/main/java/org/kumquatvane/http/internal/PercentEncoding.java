package org.kumquatvane.http.internal;

/** Percent-decoding that keeps malformed sequences instead of failing. */
final class PercentEncoding {
  /** Maximum number of decoding rounds; servers decode a value no more often. */
  private static final int MAXIMUM_ROUNDS = 3;

  private static final int HEXADECIMAL_RADIX = 16;

  private PercentEncoding() {}

  /**
   * Decodes a text repeatedly until it no longer changes. Malformed sequences stay as they are.
   *
   * @param text any text
   * @return the decoded text
   */
  static String decodeFully(String text) {
    String decoded = text;
    for (int round = 0; round < MAXIMUM_ROUNDS; round++) {
      String next = decodeOnce(decoded);
      if (next.equals(decoded)) {
        return decoded;
      }
      decoded = next;
    }
    return decoded;
  }

  /**
   * Decodes each well-formed sequence once, byte by byte.
   *
   * @param text any text
   * @return the decoded text
   */
  static String decodeOnce(String text) {
    StringBuilder decoded = new StringBuilder(text.length());
    int position = 0;
    while (position < text.length()) {
      char character = text.charAt(position);
      int high = character == '%' ? hexadecimalDigit(text, position + 1) : -1;
      int low = character == '%' ? hexadecimalDigit(text, position + 2) : -1;
      if (high >= 0 && low >= 0) {
        decoded.append((char) (high * HEXADECIMAL_RADIX + low));
        position += 3;
      } else {
        decoded.append(character);
        position++;
      }
    }
    return decoded.toString();
  }

  private static int hexadecimalDigit(String text, int position) {
    return position < text.length()
        ? Character.digit(text.charAt(position), HEXADECIMAL_RADIX)
        : -1;
  }
}
