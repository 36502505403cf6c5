package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;

/** Finds the end of a message, or of a part of one, in its bytes as they arrive. */
interface MessageScanner {
  /** How far a message has been scanned. */
  enum State {
    /** More bytes belong to it. */
    OPEN,
    /** It has ended. */
    COMPLETE,
    /** Its bytes are not a valid message, so its end is unknown. */
    MALFORMED
  }

  /**
   * Scans bytes; must not be called again when the state is no longer open.
   *
   * @param bytes buffer whose reader index is not changed
   * @param from index of the first byte
   * @param end index after the last byte
   * @return index after the last byte that belongs to the message
   */
  int scan(ByteBuf bytes, int from, int end);

  /** Returns how far the message has been scanned. */
  State state();
}
