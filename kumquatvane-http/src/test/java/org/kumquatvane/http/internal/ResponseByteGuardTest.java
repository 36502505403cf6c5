package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.ExtraBytes;

/**
 * Guards against bytes that belong to no response but reach the HTTP decoder, which would join them
 * with the response to the next request.
 */
class ResponseByteGuardTest {
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

  private final List<ExtraBytes.Position> positions = new ArrayList<>();
  private EmbeddedChannel channel;
  private ResponseByteGuard guard;

  @BeforeEach
  void install() {
    channel = new EmbeddedChannel();
    guard =
        ResponseByteGuard.install(
            channel.pipeline(),
            new SocketEndpoint("127.0.0.1", 1),
            1,
            extraBytes -> positions.add(extraBytes.position()));
  }

  static Stream<Arguments> reads() {
    return Stream.of(
        Arguments.of("whole response", List.of(RESPONSE), RESPONSE, true, List.of()),
        Arguments.of(
            "response in two reads",
            List.of(RESPONSE.substring(0, 20), RESPONSE.substring(20)),
            RESPONSE,
            true,
            List.of()),
        Arguments.of(
            "first byte of a second copy in the same read",
            List.of(RESPONSE + "H"),
            RESPONSE,
            false,
            List.of(ExtraBytes.Position.AFTER_RESPONSE)),
        Arguments.of(
            "second copy in a read of its own",
            List.of(RESPONSE, RESPONSE),
            RESPONSE,
            false,
            List.of(ExtraBytes.Position.AFTER_RESPONSE)),
        Arguments.of(
            "unfinished copy, joined with the response",
            List.of("HTTP/1.1 200 " + RESPONSE),
            "",
            false,
            List.of(ExtraBytes.Position.MALFORMED_RESPONSE)),
        Arguments.of(
            "response without its end",
            List.of(RESPONSE.substring(0, 40)),
            RESPONSE.substring(0, 40),
            false,
            List.of()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("reads")
  void onlyResponseReachesDecoder(
      String name,
      List<String> reads,
      String passedOn,
      boolean isReusable,
      List<ExtraBytes.Position> extraBytes) {
    sendRequest();
    reads.forEach(this::read);
    assertEquals(passedOn, passedOn());
    assertEquals(isReusable, guard.onResponseEnd());
    assertEquals(extraBytes, positions);
  }

  /** Bytes that arrive before the request is written can't be its response. */
  @ParameterizedTest
  @MethodSource("beforeRequest")
  void bytesBeforeRequestCloseConnection(boolean isAnnounced) {
    if (isAnnounced) {
      guard.onRequest(false);
    }
    read(RESPONSE);
    assertEquals("", passedOn());
    assertEquals(List.of(ExtraBytes.Position.IDLE), positions);
    assertEquals(false, channel.isOpen());
  }

  static Stream<Boolean> beforeRequest() {
    return Stream.of(false, true);
  }

  /** A request that counts as not written must never reach the server. */
  @ParameterizedTest
  @CsvSource({"false, '', true", "false, G, false", "true, G, true"})
  void withdrawnRequestIsNeverWritten(boolean isClosed, String begun, boolean isWithdrawn) {
    guard.onRequest(false);
    if (isClosed) {
      channel.close();
    }
    channel.writeAndFlush(buffer(begun));
    assertEquals(isWithdrawn, guard.withdrawRequest());
    assertEquals(!isWithdrawn, channel.writeAndFlush(buffer("ET / HTTP/1.1\r\n")).isSuccess());
    assertEquals(!isWithdrawn, guard.isWritten(1));
  }

  private void sendRequest() {
    guard.onRequest(false);
    channel.writeOutbound(buffer("GET / HTTP/1.1\r\n\r\n"));
  }

  private void read(String bytes) {
    if (channel.isOpen()) {
      channel.writeInbound(buffer(bytes));
    }
  }

  private String passedOn() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readInbound(); part != null; part = channel.readInbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
    }
    return text.toString();
  }

  private static ByteBuf buffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }
}
