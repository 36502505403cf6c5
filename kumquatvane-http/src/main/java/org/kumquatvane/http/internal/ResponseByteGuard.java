package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.ExtraBytes;
import org.kumquatvane.http.ExtraBytesListener;

/**
 * Closes the connection to a backend server that sends bytes which belong to no response: bytes
 * that arrive while no request waits, such as a late second copy of a response, and bytes without
 * end that the HTTP decoder would collect, such as a head that never ends.
 *
 * <p>It reads from idle connections, which ServiceTalk does not: Netty's NIO transport reports
 * neither such bytes nor the end of a connection to a channel that does not read.
 */
public final class ResponseByteGuard extends ChannelInboundHandlerAdapter {
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

  private static final int MINIMUM_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2 << 10;

  private final SocketEndpoint server;
  private final long connectionNumber;
  private final ExtraBytesListener listener;
  private final AtomicInteger requestCount = new AtomicInteger();
  private volatile boolean expectsResponse;
  private volatile int bytesWithoutProgress;
  private volatile ResponseScanner scanner = new ResponseScanner(false);
  private volatile @Nullable ChannelHandlerContext context;

  private ResponseByteGuard(
      SocketEndpoint server, long connectionNumber, ExtraBytesListener listener) {
    this.server = server;
    this.connectionNumber = connectionNumber;
    this.listener = listener;
  }

  /**
   * Installs a guard on a new connection.
   *
   * @param connection the connection
   * @param server the backend server at its other end
   * @param connectionNumber number of the connection, unique in the process
   * @param listener notified of bytes that belong to no response
   */
  public static void install(
      ReservedStreamingHttpConnection connection,
      SocketEndpoint server,
      long connectionNumber,
      ExtraBytesListener listener) {
    if (connection.connectionContext() instanceof NettyConnectionContext context) {
      Channel channel = context.nettyChannel();
      channel
          .config()
          .setRecvByteBufAllocator(
              new AdaptiveRecvByteBufAllocator(
                      MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
                  .maxMessagesPerRead(1));
      channel.pipeline().addFirst(new ResponseByteGuard(server, connectionNumber, listener));
    }
  }

  /**
   * Returns the guard of a connection.
   *
   * @param connection the connection
   * @return the guard, or empty if the connection is closed
   */
  public static Optional<ResponseByteGuard> of(ReservedStreamingHttpConnection connection) {
    return connection.connectionContext() instanceof NettyConnectionContext context
        ? Optional.ofNullable(context.nettyChannel().pipeline().get(ResponseByteGuard.class))
        : Optional.empty();
  }

  /** Reads until a request is sent, to notice the end of an idle connection. */
  public void watchIdle() {
    ChannelHandlerContext current = context;
    if (current != null) {
      current.read();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  /** Returns the number of the connection, unique in the process. */
  long connectionNumber() {
    return connectionNumber;
  }

  /** Returns the number of requests sent on the connection so far. */
  int requestCount() {
    return requestCount.get();
  }

  /**
   * Called before a request is sent.
   *
   * @param isHeadRequest whether its response has no body
   */
  void onRequest(boolean isHeadRequest) {
    bytesWithoutProgress = 0;
    requestCount.incrementAndGet();
    scanner = new ResponseScanner(isHeadRequest);
    expectsResponse = true;
  }

  /** Called when a response head or a part of a body has been received. */
  void onProgress() {
    bytesWithoutProgress = 0;
  }

  /** Called when the response has been received completely or is not wanted any more. */
  void onResponseEnd() {
    expectsResponse = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      int received = bytesWithoutProgress + bytes.readableBytes();
      bytesWithoutProgress = received;
      if (!expectsResponse || received > MAXIMUM_BYTES_WITHOUT_PROGRESS) {
        report(
            expectsResponse ? ExtraBytes.Position.WITHOUT_END : ExtraBytes.Position.IDLE,
            bytes.readableBytes());
        ReferenceCountUtil.release(message);
        context.close();
        return;
      }
      reportExtraBytes(bytes);
    }
    super.channelRead(context, message);
  }

  private void reportExtraBytes(ByteBuf bytes) {
    ResponseScanner reading = scanner;
    int end = bytes.writerIndex();
    int index = bytes.readerIndex();
    if (reading.state() == MessageScanner.State.OPEN) {
      index = reading.scan(bytes, index, end);
    }
    if (reading.state() == MessageScanner.State.MALFORMED) {
      report(ExtraBytes.Position.MALFORMED_RESPONSE, bytes.readableBytes());
    } else if (index < end) {
      report(ExtraBytes.Position.AFTER_RESPONSE, end - index);
    }
  }

  private void report(ExtraBytes.Position position, int count) {
    listener.onExtraBytes(
        new ExtraBytes(server, connectionNumber, requestCount.get(), position, count));
  }

  /** Closes an idle connection at the end of its input, for which ServiceTalk keeps it open. */
  @Override
  public void userEventTriggered(ChannelHandlerContext current, Object event) throws Exception {
    if (event == ChannelInputShutdownEvent.INSTANCE && !expectsResponse) {
      current.close();
    }
    super.userEventTriggered(current, event);
  }
}
