package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against disconnects that are not noticed, and against bytes that are lost or reordered.
 */
class DisconnectDetectorTest {
  private static final int TOTAL_LIMIT = 1_000;

  private final BufferBudget budget = new BufferBudget(TOTAL_LIMIT);

  /** Counts the reads that reach the socket. */
  private static final class ReadCounter extends ChannelOutboundHandlerAdapter {
    private int reads;

    @Override
    public void read(ChannelHandlerContext context) {
      reads++;
    }
  }

  /** A connection whose HTTP decoder collects text and reads when the test says so. */
  private static final class Connection extends ChannelInboundHandlerAdapter {
    private final ReadCounter counter = new ReadCounter();
    private final DisconnectDetector detector;
    private final EmbeddedChannel channel;
    private final StringBuilder received = new StringBuilder();
    private int failures;

    private Connection(BufferBudget budget) {
      detector = new DisconnectDetector(budget);
      channel = new EmbeddedChannel();
      channel.config().setAutoRead(false);
      channel.pipeline().addLast(counter, detector, this);
      counter.reads = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      received.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
      failures++;
    }

    private void receive(String text) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void read() {
      channel.pipeline().lastContext().read();
      channel.runPendingTasks();
    }
  }

  private Connection withRequest() {
    Connection connection = new Connection(budget);
    connection.read();
    connection.receive("request-1 ");
    connection.detector.watch();
    return connection;
  }

  /** A read must stay open until the response, whatever the reads before it have returned. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5})
  void readsWhileRequestIsProcessed(int emptyReads) {
    Connection connection = withRequest();
    assertEquals(2, connection.counter.reads);
    for (int i = 0; i < emptyReads; i++) {
      connection.channel.pipeline().fireChannelReadComplete();
    }
    assertEquals(2 + emptyReads, connection.counter.reads);
  }

  /** The decoder must get the next request once, after it has asked for it. */
  @ParameterizedTest
  @CsvSource({"request-2, 2", "'request-2 request-3', 2"})
  void nextRequestIsHeldBackUntilRead(String next, int socketReads) {
    Connection connection = withRequest();
    connection.receive(next);
    assertEquals("request-1 ", connection.received.toString());
    assertEquals(socketReads, connection.counter.reads);
    connection.read();
    assertEquals("request-1 " + next, connection.received.toString());
    connection.read();
    connection.receive(" last");
    assertEquals("request-1 " + next + " last", connection.received.toString());
  }

  /** A reset must close the connection, since the decoder does not act on the failed read. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void resetClosesConnectionWhileRequestIsProcessed(boolean isProcessed) {
    Connection connection = withRequest();
    if (!isProcessed) {
      connection.read();
    }
    connection.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    assertEquals(!isProcessed, connection.channel.isOpen());
    assertEquals(isProcessed ? 0 : 1, connection.failures);
  }

  /** Callers that send many requests ahead must not fill the memory of the VM. */
  @Test
  void heldBytesOfAllConnectionsAreBounded() {
    Connection first = withRequest();
    first.receive("x".repeat(TOTAL_LIMIT));
    Connection second = withRequest();
    second.receive("y");
    assertEquals(true, first.channel.isOpen());
    assertEquals(false, second.channel.isOpen());
    first.channel.close();
    Connection third = withRequest();
    third.receive("z".repeat(TOTAL_LIMIT));
    assertEquals(true, third.channel.isOpen());
  }
}
