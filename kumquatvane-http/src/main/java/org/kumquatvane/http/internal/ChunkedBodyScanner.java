package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;

/** Scans a body in chunks, up to the end of its trailers. */
final class ChunkedBodyScanner implements MessageScanner {
  private static final int HEXADECIMAL = 16;
  private static final int MAXIMUM_SIZE_DIGITS = 15;

  /** What the next bytes are. */
  private enum Part {
    SIZE,
    DATA,
    DATA_END,
    TRAILERS
  }

  private final LineScanner lines = new LineScanner();
  private Part part = Part.SIZE;
  private FixedLengthScanner data = new FixedLengthScanner(0);
  private State state = State.OPEN;

  @Override
  public int scan(ByteBuf bytes, int from, int end) {
    int index = from;
    while (index < end && state == State.OPEN) {
      index = part == Part.DATA ? scanData(bytes, index, end) : scanLine(bytes, index, end);
    }
    return index;
  }

  @Override
  public State state() {
    return state;
  }

  private int scanData(ByteBuf bytes, int from, int end) {
    int index = data.scan(bytes, from, end);
    if (data.state() == State.COMPLETE) {
      part = Part.DATA_END;
    }
    return index;
  }

  private int scanLine(ByteBuf bytes, int from, int end) {
    int index = lines.scan(bytes, from, end);
    if (lines.state() == State.MALFORMED) {
      state = State.MALFORMED;
    } else if (lines.state() == State.COMPLETE) {
      acceptLine(lines.takeLine());
    }
    return index;
  }

  private void acceptLine(String line) {
    switch (part) {
      case SIZE -> acceptSize(line);
      case DATA_END -> {
        part = Part.SIZE;
        if (!line.isEmpty()) {
          state = State.MALFORMED;
        }
      }
      default -> {
        if (line.isEmpty()) {
          state = State.COMPLETE;
        } else if (!ResponseHeadScanner.isFieldLine(line)) {
          state = State.MALFORMED;
        }
      }
    }
  }

  private void acceptSize(String line) {
    int extension = line.indexOf(';');
    String digits = (extension < 0 ? line : line.substring(0, extension)).trim();
    long size = parseSize(digits);
    if (size < 0) {
      state = State.MALFORMED;
    } else if (size == 0) {
      part = Part.TRAILERS;
    } else {
      data = new FixedLengthScanner(size);
      part = Part.DATA;
    }
  }

  private static long parseSize(String digits) {
    if (digits.isEmpty() || digits.length() > MAXIMUM_SIZE_DIGITS) {
      return -1;
    }
    long size = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = Character.digit(digits.charAt(i), HEXADECIMAL);
      if (digit < 0) {
        return -1;
      }
      size = size * HEXADECIMAL + digit;
    }
    return size;
  }
}
