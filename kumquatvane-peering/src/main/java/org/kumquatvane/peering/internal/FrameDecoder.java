package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.kumquatvane.peering.codec.MalformedMessageException;

/**
 * Cuts a stream into frames. Memory grows with the bytes received, not with the length declared.
 */
public final class FrameDecoder {
  private static final int INITIAL_BUFFER_BYTES = 1_024;
  private static final byte[] EMPTY = {};

  private int maximumBodyBytes;
  private int declaredBodyBytes = -1;
  private int headerBytes;
  private int header;
  private byte[] body = EMPTY;
  private int receivedBytes;

  /**
   * Creates an assembler at the start of a stream.
   *
   * @param maximumBodyBytes longest accepted body
   */
  public FrameDecoder(int maximumBodyBytes) {
    this.maximumBodyBytes = maximumBodyBytes;
  }

  /**
   * Changes the longest accepted body.
   *
   * @param bytes the limit for frames that have not begun
   */
  public void setMaximumBodyBytes(int bytes) {
    maximumBodyBytes = bytes;
  }

  /**
   * Consumes received bytes.
   *
   * @param source the bytes
   * @param sink receives the body of each complete frame
   * @throws IOException if a frame is too long, or from the sink
   */
  public void decode(ByteBuffer source, FrameSink sink) throws IOException {
    while (source.hasRemaining()) {
      if (declaredBodyBytes < 0) {
        readHeader(source);
      } else {
        readBody(source);
      }
      if (declaredBodyBytes >= 0 && receivedBytes == declaredBodyBytes) {
        byte[] frame = body.length == receivedBytes ? body : Arrays.copyOf(body, receivedBytes);
        declaredBodyBytes = -1;
        headerBytes = 0;
        header = 0;
        receivedBytes = 0;
        body = EMPTY;
        sink.onFrame(frame);
      }
    }
  }

  private void readHeader(ByteBuffer source) throws MalformedMessageException {
    header = (header << Byte.SIZE) | (source.get() & 0xff);
    headerBytes++;
    if (headerBytes == Integer.BYTES) {
      if (header < 0 || header > maximumBodyBytes) {
        throw new MalformedMessageException(
            "frame of " + Integer.toUnsignedString(header) + " bytes, limit " + maximumBodyBytes);
      }
      declaredBodyBytes = header;
    }
  }

  private void readBody(ByteBuffer source) {
    int count = Math.min(source.remaining(), declaredBodyBytes - receivedBytes);
    if (body.length < receivedBytes + count) {
      int doubled =
          Math.max(Math.max(INITIAL_BUFFER_BYTES, body.length * 2), receivedBytes + count);
      body = Arrays.copyOf(body, Math.min(doubled, declaredBodyBytes));
    }
    source.get(body, receivedBytes, count);
    receivedBytes += count;
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
    void onFrame(byte[] body) throws IOException;
  }
}
