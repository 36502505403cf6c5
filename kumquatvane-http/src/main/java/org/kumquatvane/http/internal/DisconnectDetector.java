package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.io.IOException;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Notices that a caller has closed its connection while its request is being processed.
 *
 * <p>ServiceTalk does not read from a connection between the end of a request and the end of its
 * response, and Netty's NIO transport reports the end of a stream only to a channel that reads. The
 * detector keeps one read open meanwhile and holds back what it returns, which is the beginning of
 * the next request, until ServiceTalk reads again. Confined to the event loop of the connection.
 */
public final class DisconnectDetector extends ChannelDuplexHandler {
  /** Bytes that are held back on all connections together. */
  private static final int MAXIMUM_TOTAL_BYTES = 1 << 20;

  private final BufferBudget budget;
  private @Nullable ChannelHandlerContext context;
  private @Nullable ByteBuf held;
  private boolean isWatching;
  private boolean isReadRequested;

  DisconnectDetector(BufferBudget budget) {
    this.budget = budget;
  }

  /** Installs detectors that share one budget. */
  public static final class Installer {
    private final BufferBudget budget = new BufferBudget(MAXIMUM_TOTAL_BYTES);

    /**
     * Installs a detector on a new connection.
     *
     * @param connection the connection
     */
    public void install(ConnectionInfo connection) {
      if (connection instanceof NettyConnectionContext netty) {
        install(netty.nettyChannel().pipeline());
      }
    }

    void install(ChannelPipeline pipeline) {
      pipeline.addFirst(new DisconnectDetector(budget));
    }
  }

  /** Returns the detector of a connection; empty if it has none. */
  static Optional<DisconnectDetector> of(ConnectionInfo connection) {
    return connection instanceof NettyConnectionContext netty
        ? Optional.ofNullable(netty.nettyChannel().pipeline().get(DisconnectDetector.class))
        : Optional.empty();
  }

  /**
   * Reads until ServiceTalk does so itself. Called when a request has been received completely, so
   * that what is read is not a part of its body.
   */
  void watch() {
    ChannelHandlerContext current = context;
    if (current == null) {
      return;
    }
    if (!current.executor().inEventLoop()) {
      current.executor().execute(this::watch);
      return;
    }
    isWatching = true;
    if (held == null) {
      current.read();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void read(ChannelHandlerContext current) {
    isWatching = false;
    isReadRequested = true;
    if (held == null) {
      current.read();
    } else {
      // Not at once: ServiceTalk expects no bytes before its call returns.
      current.executor().execute(() -> passHeldBytes(current));
    }
  }

  private void passHeldBytes(ChannelHandlerContext current) {
    ByteBuf bytes = held;
    if (bytes == null) {
      return;
    }
    held = null;
    budget.release(bytes.readableBytes());
    isReadRequested = false;
    current.fireChannelRead(bytes);
    current.fireChannelReadComplete();
  }

  @Override
  public void channelRead(ChannelHandlerContext current, Object message) {
    if ((isReadRequested && held == null) || !(message instanceof ByteBuf bytes)) {
      current.fireChannelRead(message);
    } else if (held != null || !budget.reserve(bytes.readableBytes())) {
      // A caller that sends ahead of its responses fills the memory, so it is cut off.
      ReferenceCountUtil.release(message);
      current.close();
    } else {
      held = bytes;
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext current) {
    if (isReadRequested) {
      isReadRequested = false;
      current.fireChannelReadComplete();
    }
    if (isWatching && held == null) {
      current.read();
    }
  }

  /**
   * Closes a connection that the caller has reset. ServiceTalk would take a failed read for the end
   * of the requests only, and would not cancel the one in progress.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext current, Throwable failure) {
    if (isWatching && failure instanceof IOException) {
      current.close();
    } else {
      current.fireExceptionCaught(failure);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext current) {
    releaseHeldBytes();
    current.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext removed) {
    releaseHeldBytes();
  }

  private void releaseHeldBytes() {
    ByteBuf bytes = held;
    if (bytes != null) {
      held = null;
      budget.release(bytes.readableBytes());
      bytes.release();
    }
  }
}
