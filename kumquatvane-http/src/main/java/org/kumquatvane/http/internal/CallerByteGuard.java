package org.kumquatvane.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.concurrent.TimeUnit;

/**
 * Closes the connection to a caller that sends bytes without end from which no request and no part
 * of a body results, such as a head with fields without end, and to one that sends a head too
 * slowly. The decoder limits each field but not their number.
 *
 * <p>The counts are confined to the event loop of the connection; the budget is shared by all
 * connections of the VM.
 */
public final class CallerByteGuard {
  /**
   * Bytes without progress of all connections together; each takes some 20 bytes on the heap if the
   * fields are short. Ordinary heads have a few hundred bytes and arrive in one read.
   */
  private static final int MAXIMUM_TOTAL_BYTES = 1 << 20;

  /**
   * Time within which the rest of a head must follow its first bytes; callers over slow links need
   * a few round trips.
   */
  private static final long HEAD_TIMEOUT_MILLIS = 10_000;

  private final int maximumBytes;
  private final BufferBudget budget = new BufferBudget(MAXIMUM_TOTAL_BYTES);

  /**
   * Creates a guard.
   *
   * @param maximumBytes number of bytes without progress after which a connection is closed
   */
  public CallerByteGuard(int maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Installs the guard on a new connection.
   *
   * @param connection the connection
   */
  public void install(ConnectionInfo connection) {
    if (connection instanceof NettyConnectionContext context) {
      install(context.nettyChannel().pipeline());
    }
  }

  void install(ChannelPipeline pipeline) {
    ByteCounter counter = new ByteCounter();
    pipeline.addFirst(counter);
    // The last handler passes requests to ServiceTalk; the one before it sees decoded messages.
    pipeline.addBefore(pipeline.lastContext().name(), null, new ProgressDetector(counter));
  }

  private final class ByteCounter extends ChannelInboundHandlerAdapter {
    private int received;
    private long progressCount;
    private boolean isTimeoutScheduled;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof ByteBuf bytes) {
        int added = bytes.readableBytes();
        // Without the bytes of this read, since a part of a body may be longer than the limit.
        if (received > maximumBytes || !budget.reserve(added)) {
          ReferenceCountUtil.release(message);
          context.close();
          return;
        }
        received += added;
      }
      super.channelRead(context, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      reset();
      super.channelInactive(context);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      limitHead(context);
      super.channelReadComplete(context);
    }

    /** Starts the timeout only for a head in several reads; most heads arrive in one. */
    private void limitHead(ChannelHandlerContext context) {
      if (received > 0 && !isTimeoutScheduled) {
        isTimeoutScheduled = true;
        long atStart = progressCount;
        context
            .executor()
            .schedule(
                () -> onTimeout(context, atStart), HEAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void onTimeout(ChannelHandlerContext context, long progressAtStart) {
      isTimeoutScheduled = false;
      if (received > 0 && progressCount == progressAtStart) {
        context.close();
      } else {
        limitHead(context);
      }
    }

    private void onProgress() {
      progressCount++;
      reset();
    }

    private void reset() {
      budget.release(received);
      received = 0;
    }
  }

  private static final class ProgressDetector extends ChannelInboundHandlerAdapter {
    private final ByteCounter counter;

    private ProgressDetector(ByteCounter counter) {
      this.counter = counter;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      counter.onProgress();
      super.channelRead(context, message);
    }
  }
}
