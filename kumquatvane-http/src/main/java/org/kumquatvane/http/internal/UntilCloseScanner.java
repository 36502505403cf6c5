package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;

/** Scans a body that ends with its connection. */
final class UntilCloseScanner implements MessageScanner {
  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    return end;
  }

  @Override
  public State state() {
    return State.OPEN;
  }
}
