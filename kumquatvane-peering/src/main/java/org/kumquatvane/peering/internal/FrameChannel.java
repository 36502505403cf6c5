package org.kumquatvane.peering.internal;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.kumquatvane.peering.internal.FrameDecoder.FrameSink;

/** Reads and writes frames on a non-blocking connection. Confined to the I/O thread. */
final class FrameChannel implements Closeable {
  private static final int MAXIMUM_READS_PER_CALL = 8;

  private final SocketChannel channel;
  private final SelectionKey key;
  private final FrameDecoder decoder;
  private final Deque<ByteBuffer> outgoing = new ArrayDeque<>();

  FrameChannel(SocketChannel channel, SelectionKey key, ByteBudget receiveBudget) {
    decoder = new FrameDecoder(Handshake.MAXIMUM_FRAME_BYTES, receiveBudget);
    this.channel = channel;
    this.key = key;
  }

  void setMaximumFrameBytes(int bytes) {
    decoder.setMaximumBodyBytes(bytes);
  }

  /** Reads available bytes, a bounded amount so that one peer cannot monopolize the thread. */
  void read(ByteBuffer readBuffer, FrameSink sink) throws IOException {
    for (int i = 0; i < MAXIMUM_READS_PER_CALL; i++) {
      readBuffer.clear();
      int count = channel.read(readBuffer);
      if (count < 0) {
        throw new EOFException("the peer closed the connection");
      }
      if (count == 0) {
        return;
      }
      decoder.decode(readBuffer.flip(), sink);
    }
  }

  /** Queues a frame and returns the number of bytes written to the socket. */
  long write(ByteBuffer frame) throws IOException {
    outgoing.add(frame);
    return flush();
  }

  long flush() throws IOException {
    long written = 0;
    ByteBuffer first;
    while ((first = outgoing.peek()) != null) {
      written += channel.write(first);
      if (first.hasRemaining()) {
        break;
      }
      outgoing.remove();
    }
    int interest = SelectionKey.OP_READ | (outgoing.isEmpty() ? 0 : SelectionKey.OP_WRITE);
    if (key.isValid() && key.interestOps() != interest) {
      key.interestOps(interest);
    }
    return written;
  }

  boolean isFlushed() {
    return outgoing.isEmpty();
  }

  @Override
  public void close() throws IOException {
    decoder.close();
    key.cancel();
    channel.close();
  }
}
