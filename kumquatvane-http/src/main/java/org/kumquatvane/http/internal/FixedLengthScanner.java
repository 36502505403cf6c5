package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;

/** Scans a body with a declared length. */
final class FixedLengthScanner implements MessageScanner {
  private long remainingBytes;

  /**
   * Creates a scanner.
   *
   * @param length length of the body in bytes, not negative
   */
  FixedLengthScanner(long length) {
    remainingBytes = length;
  }

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    int scanned = (int) Math.min(remainingBytes, end - from);
    remainingBytes -= scanned;
    return from + scanned;
  }

  @Override
  public State state() {
    return remainingBytes == 0 ? State.COMPLETE : State.OPEN;
  }
}
