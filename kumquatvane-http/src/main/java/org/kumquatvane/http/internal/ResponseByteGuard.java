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
import org.jspecify.annotations.Nullable;

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

  private volatile boolean expectsResponse;
  private volatile int bytesWithoutProgress;
  private volatile @Nullable ChannelHandlerContext context;

  private ResponseByteGuard() {}

  /**
   * Installs a guard on a new connection.
   *
   * @param connection the connection
   */
  public static void install(ReservedStreamingHttpConnection connection) {
    if (connection.connectionContext() instanceof NettyConnectionContext context) {
      Channel channel = context.nettyChannel();
      channel
          .config()
          .setRecvByteBufAllocator(
              new AdaptiveRecvByteBufAllocator(
                      MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
                  .maxMessagesPerRead(1));
      channel.pipeline().addFirst(new ResponseByteGuard());
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

  /** Called before a request is sent. */
  void onRequest() {
    bytesWithoutProgress = 0;
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
        ReferenceCountUtil.release(message);
        context.close();
        return;
      }
    }
    super.channelRead(context, message);
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
