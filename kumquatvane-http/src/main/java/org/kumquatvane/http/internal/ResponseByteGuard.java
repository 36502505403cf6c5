package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.ExtraBytes;
import org.kumquatvane.http.ExtraBytesListener;

/**
 * Separates the responses on a connection to a backend server from bytes that belong to none: bytes
 * that arrive while no request waits, such as a late second copy of a response, bytes after the end
 * of a response, and bytes without end that the HTTP decoder would collect, such as a head that
 * never ends.
 *
 * <p>No such byte reaches the HTTP decoder, which would join it with the next response: an
 * unfinished {@code HTTP/1.1 200} and a complete {@code HTTP/1.1 500} make a success with the
 * fields and the body of the failure. The connection is closed.
 *
 * <p>It also keeps a withdrawn request from being written: it sees the first byte of each request.
 *
 * <p>It reads from idle connections, which ServiceTalk does not: Netty's NIO transport reports
 * neither such bytes nor the end of a connection to a channel that does not read.
 */
final class ResponseByteGuard extends ChannelDuplexHandler {
  /**
   * Maximum number of bytes received without a response head or a part of a body. Heads have a few
   * hundred bytes; a field of 13 bytes takes some 250 on the heap, so 128 KB of short fields on 50
   * connections exhaust a heap of 128 MB.
   */
  private static final int MAXIMUM_BYTES_WITHOUT_PROGRESS = 16 << 10;

  /**
   * Maximum number of bytes decoded at once. The decoder turns all bytes of a read into messages
   * before any of them is handled; 64 KB of interim responses on 50 connections exhaust the heap.
   */
  private static final int MAXIMUM_READ_BYTES = 8 << 10;

  /**
   * Maximum number of bytes of earlier responses that are dropped while one is awaited: as much as
   * a buffered response may have, since responses without end would keep the request waiting.
   */
  private static final int MAXIMUM_DROPPED_BYTES = 128 << 10;

  private static final int MINIMUM_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2 << 10;

  private final SocketEndpoint server;
  private final long connectionNumber;
  private final ExtraBytesListener listener;
  private final AtomicInteger requestCount = new AtomicInteger();
  private final AtomicLong extraBytes = new AtomicLong();
  private volatile int bytesWithoutProgress;
  private volatile boolean hasInvalidBytes;
  private volatile @Nullable ChannelHandlerContext context;

  /** The last request; null before the first one. Only the event loop begins to write it. */
  private volatile @Nullable RequestWrite request;

  /**
   * Finds the response that is being read; null while no response may come. Only the event loop
   * scans with it.
   */
  private volatile @Nullable EarlierResponseFilter reading;

  /** Number of requests of which a byte has been written. */
  private volatile int writtenRequests;

  private ResponseByteGuard(
      SocketEndpoint server, long connectionNumber, ExtraBytesListener listener) {
    this.server = server;
    this.connectionNumber = connectionNumber;
    this.listener = listener;
  }

  /**
   * Installs a guard on a new connection.
   *
   * @param channel channel of the connection
   * @param server the backend server at its other end
   * @param connectionNumber number of the connection, unique in the process
   * @param listener notified of bytes that belong to no response
   */
  static ResponseByteGuard install(
      Channel channel, SocketEndpoint server, long connectionNumber, ExtraBytesListener listener) {
    channel
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(
                    MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
                .maxMessagesPerRead(1));
    return install(channel.pipeline(), server, connectionNumber, listener);
  }

  static ResponseByteGuard install(
      ChannelPipeline pipeline,
      SocketEndpoint server,
      long connectionNumber,
      ExtraBytesListener listener) {
    ResponseByteGuard guard = new ResponseByteGuard(server, connectionNumber, listener);
    pipeline.addFirst(guard);
    return guard;
  }

  /** Reads until a request is sent, to notice the end of an idle connection. */
  void watchIdle() {
    ChannelHandlerContext current = context;
    if (current != null) {
      current.read();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext removed) {
    EarlierResponseFilter unfinished = reading;
    if (unfinished != null) {
      unfinished.release();
    }
  }

  /** Returns whether neither side is known to have closed the connection. */
  boolean isOpen() {
    ChannelHandlerContext current = context;
    return current != null && current.channel().isActive();
  }

  /**
   * Returns whether a byte of a request has been written.
   *
   * @param number number of the request on this connection, from 1
   */
  boolean isWritten(int number) {
    return writtenRequests >= number;
  }

  /** Returns whether the connection was closed for bytes that belong to no response. */
  boolean hasInvalidBytes() {
    return hasInvalidBytes;
  }

  /** Returns the number of bytes received that belong to no response, dropped ones included. */
  long extraBytes() {
    return extraBytes.get();
  }

  /**
   * Called before a request is sent.
   *
   * @param response finds its response
   * @throws IllegalStateException if a request has been withdrawn; its bytes would be let through
   */
  void onRequest(EarlierResponseFilter response) {
    RequestWrite previous = request;
    if (previous != null && previous.isWithdrawn()) {
      throw new IllegalStateException("a request on this connection has been withdrawn");
    }
    bytesWithoutProgress = 0;
    requestCount.incrementAndGet();
    request = new RequestWrite(response);
  }

  /**
   * Withdraws the last request, unless a byte of it has been written. After a withdrawal the
   * connection writes nothing further.
   *
   * @return whether no byte of the request has been written, and none ever will be
   */
  boolean withdrawRequest() {
    RequestWrite last = request;
    return last != null && last.withdraw();
  }

  /** Called when a response head or a part of a body has been received. */
  void onProgress() {
    bytesWithoutProgress = 0;
  }

  /**
   * Called when the HTTP decoder has reported the end of the response.
   *
   * @return whether the connection can carry another request: the response has ended where its head
   *     says, with the last byte received
   */
  boolean onResponseEnd() {
    EarlierResponseFilter read = reading;
    reading = null;
    return read != null && read.state() == MessageScanner.State.COMPLETE && extraBytes.get() == 0;
  }

  /**
   * Expects the response from the first byte of the request on, and none before it. The first write
   * after {@link #onRequest} is that byte, since a response ends only after its own request has
   * been written. Fails the writes of a withdrawn request. A closed channel writes nothing, so a
   * request is not begun there.
   */
  @Override
  public void write(ChannelHandlerContext current, Object message, ChannelPromise promise)
      throws Exception {
    RequestWrite writing = request;
    boolean hasBytes = !(message instanceof ByteBuf bytes) || bytes.isReadable();
    if (writing != null && hasBytes && current.channel().isActive()) {
      if (writing.begin()) {
        reading = writing.response();
        writtenRequests = requestCount.get();
      } else if (writing.isWithdrawn()) {
        ReferenceCountUtil.release(message);
        promise.tryFailure(new ClosedChannelException());
        return;
      }
    }
    super.write(current, message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext current, Object message) throws Exception {
    if (!(message instanceof ByteBuf bytes)) {
      super.channelRead(current, message);
      return;
    }
    List<ByteBuf> accepted = new ArrayList<>(1);
    boolean isValid;
    try {
      isValid = acceptBytes(bytes, accepted);
    } finally {
      bytes.release();
    }
    if (isValid) {
      // The end of a response releases its connection, so all extra bytes must be known before.
      accepted.forEach(current::fireChannelRead);
    } else {
      accepted.forEach(ByteBuf::release);
      hasInvalidBytes = true;
      current.close();
    }
  }

  /**
   * Finds the bytes of the response; returns false if the connection must be closed, since bytes
   * were received that are not known to end before a response.
   */
  private boolean acceptBytes(ByteBuf bytes, List<ByteBuf> accepted) {
    EarlierResponseFilter response = reading;
    if (response == null) {
      report(ExtraBytes.Position.IDLE, bytes.readableBytes());
      return false;
    }
    if (response.state() == MessageScanner.State.COMPLETE) {
      report(ExtraBytes.Position.AFTER_RESPONSE, bytes.readableBytes());
      return false;
    }
    int received = bytesWithoutProgress + bytes.readableBytes();
    bytesWithoutProgress = received;
    if (received > MAXIMUM_BYTES_WITHOUT_PROGRESS) {
      report(ExtraBytes.Position.WITHOUT_END, bytes.readableBytes());
      return false;
    }
    long droppedBefore = response.droppedBytes();
    int responseEnd = response.scan(bytes, accepted::add);
    int dropped = (int) (response.droppedBytes() - droppedBefore);
    if (dropped > 0) {
      report(ExtraBytes.Position.EARLIER_RESPONSE, dropped);
      bytesWithoutProgress = 0;
    }
    if (response.state() == MessageScanner.State.MALFORMED) {
      report(ExtraBytes.Position.MALFORMED_RESPONSE, bytes.readableBytes());
      return false;
    }
    if (responseEnd < bytes.writerIndex()) {
      report(ExtraBytes.Position.AFTER_RESPONSE, bytes.writerIndex() - responseEnd);
    }
    return response.droppedBytes() <= MAXIMUM_DROPPED_BYTES;
  }

  private void report(ExtraBytes.Position position, int count) {
    extraBytes.addAndGet(count);
    listener.onExtraBytes(
        new ExtraBytes(server, connectionNumber, requestCount.get(), position, count));
  }

  /** Closes an idle connection at the end of its input, for which ServiceTalk keeps it open. */
  @Override
  public void userEventTriggered(ChannelHandlerContext current, Object event) throws Exception {
    if (event == ChannelInputShutdownEvent.INSTANCE && reading == null) {
      current.close();
    }
    super.userEventTriggered(current, event);
  }
}
