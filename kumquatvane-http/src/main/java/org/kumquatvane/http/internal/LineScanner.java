package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;

/** Collects one line that ends with CR LF. */
final class LineScanner implements MessageScanner {
  /** Longer lines are malformed, so that a line without an end takes no more memory. */
  private static final int MAXIMUM_LINE_BYTES = 16 << 10;

  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte LINE_FEED = '\n';
  private static final int BYTE_MASK = 0xff;

  private final StringBuilder line = new StringBuilder();
  private boolean endsWithCarriageReturn;
  private State state = State.OPEN;

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    for (int index = from; index < end; index++) {
      byte next = bytes.getByte(index);
      if (endsWithCarriageReturn || next == LINE_FEED) {
        state = endsWithCarriageReturn && next == LINE_FEED ? State.COMPLETE : State.MALFORMED;
        return index + 1;
      }
      if (next == CARRIAGE_RETURN) {
        endsWithCarriageReturn = true;
      } else if (line.length() == MAXIMUM_LINE_BYTES) {
        state = State.MALFORMED;
        return index;
      } else {
        line.append((char) (next & BYTE_MASK));
      }
    }
    return end;
  }

  @Override
  public State state() {
    return state;
  }

  /** Returns the line without its end and starts the next one. */
  String takeLine() {
    String complete = line.toString();
    line.setLength(0);
    endsWithCarriageReturn = false;
    state = State.OPEN;
    return complete;
  }
}
