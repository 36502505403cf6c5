package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.kumquatvane.peering.codec.MalformedMessageException;

/**
 * Cuts a stream into frames. Memory grows with the bytes received, not with the length declared.
 */
public final class FrameAssembler {
  private static final int INITIAL_BYTES = 1_024;
  private static final byte[] EMPTY = {};

  private int limitBytes;
  private int declaredLength = -1;
  private int headerBytes;
  private int header;
  private byte[] body = EMPTY;
  private int received;

  /**
   * Creates an assembler at the start of a stream.
   *
   * @param limitBytes longest accepted body
   */
  public FrameAssembler(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Changes the longest accepted body.
   *
   * @param bytes the limit for frames that have not begun
   */
  public void setLimit(int bytes) {
    limitBytes = bytes;
  }

  /**
   * Consumes received bytes.
   *
   * @param source the bytes
   * @param sink receives the body of each complete frame
   * @throws IOException if a frame is too long, or from the sink
   */
  public void feed(ByteBuffer source, FrameSink sink) throws IOException {
    while (source.hasRemaining()) {
      if (declaredLength < 0) {
        readHeader(source);
      } else {
        readBody(source);
      }
      if (declaredLength >= 0 && received == declaredLength) {
        byte[] frame = body.length == received ? body : Arrays.copyOf(body, received);
        declaredLength = -1;
        headerBytes = 0;
        header = 0;
        received = 0;
        body = EMPTY;
        sink.frame(frame);
      }
    }
  }

  private void readHeader(ByteBuffer source) throws MalformedMessageException {
    header = (header << Byte.SIZE) | (source.get() & 0xff);
    headerBytes++;
    if (headerBytes == Integer.BYTES) {
      if (header < 0 || header > limitBytes) {
        throw new MalformedMessageException(
            "frame of " + Integer.toUnsignedString(header) + " bytes, limit " + limitBytes);
      }
      declaredLength = header;
    }
  }

  private void readBody(ByteBuffer source) {
    int count = Math.min(source.remaining(), declaredLength - received);
    if (body.length < received + count) {
      int doubled = Math.max(Math.max(INITIAL_BYTES, body.length * 2), received + count);
      body = Arrays.copyOf(body, Math.min(doubled, declaredLength));
    }
    source.get(body, received, count);
    received += count;
  }

  /** Receives the body of each frame. */
  @FunctionalInterface
  public interface FrameSink {
    /**
     * Takes a frame.
     *
     * @param body its body
     * @throws IOException if the connection must be closed
     */
    void frame(byte[] body) throws IOException;
  }
}
