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

  /** Size above which a body counts against the budget while it arrives. */
  private static final int LARGE_BODY_BYTES = 64 << 10;

  private final ByteBudget budget;
  private int maximumBodyBytes;
  private int reservedBytes;
  private int declaredBodyBytes = -1;
  private int headerBytes;
  private int header;
  private byte[] body = EMPTY;
  private int receivedBytes;

  /**
   * Creates a decoder at the start of a stream.
   *
   * @param maximumBodyBytes maximum accepted body length
   * @param budget bound on the large bodies that all connections receive at the same time
   */
  public FrameDecoder(int maximumBodyBytes, ByteBudget budget) {
    this.maximumBodyBytes = maximumBodyBytes;
    this.budget = budget;
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
   * @throws IOException if a frame exceeds the maximum length or the budget, or if the sink throws
   *     it
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
        close();
        sink.onFrame(frame);
      }
    }
  }

  /** Gives back what a frame that has not arrived completely holds of the budget. */
  public void close() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  private void readHeader(ByteBuffer source) throws IOException {
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
      if (header > LARGE_BODY_BYTES) {
        if (!budget.tryReserve(header)) {
          throw new IOException("too many large frames are being received");
        }
        reservedBytes = header;
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
