package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.kumquatvane.peering.codec.MalformedMessageException;

/**
 * Splits a byte stream into length-prefixed frames. The buffer grows with the bytes received, so a
 * large declared length alone allocates no memory.
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
   * Creates a decoder at the start of a stream.
   *
   * @param maximumBodyBytes maximum accepted body length
   */
  public FrameDecoder(int maximumBodyBytes) {
    this.maximumBodyBytes = maximumBodyBytes;
  }

  /**
   * Changes the maximum accepted body length.
   *
   * @param bytes limit for frames whose header has not been read yet
   */
  public void setMaximumBodyBytes(int bytes) {
    maximumBodyBytes = bytes;
  }

  /**
   * Decodes received bytes and passes each complete frame to the sink.
   *
   * @param source received bytes; all are consumed
   * @param sink receives the body of each complete frame
   * @throws IOException if a frame exceeds the maximum length, or if the sink throws it
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
            "frame of "
                + Integer.toUnsignedString(header)
                + " bytes exceeds the limit of "
                + maximumBodyBytes
                + " bytes");
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
     * Handles a frame.
     *
     * @param body body of the frame
     * @throws IOException if the connection must be closed
     */
    void onFrame(byte[] body) throws IOException;
  }
}
