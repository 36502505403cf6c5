package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a wrong end of a response: bytes after it would be taken for a part of it, or for
 * the beginning of the response to the next request.
 */
class ResponseScannerTest {
  private static final String ID_FIELD = "x-request-id";
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String ID = "X-Request-Id: 1\r\n";
  private static final String NEXT = "HTTP/1.1 500 Internal Server Error\r\n" + ID + "\r\n";

  static Stream<String> completeResponses() {
    return Stream.of(
        OK + ID + "Content-Length: 4\r\n\r\ndone",
        OK + "content-length:0\r\n\r\n",
        OK + "Content-Length: 4 \r\nVia: HTTP/1.1 proxy\r\n\r\nHTTP",
        "HTTP/1.0 404 \r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 404\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 204 No Content\r\n" + ID + "\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        OK + "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
        OK
            + "Transfer-Encoding: chunked\r\n\r\nA;x=y\r\n0123456789\r\n1\r\n\n\r\n0\r\nA: b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: x\r\n\r\n"
            + OK
            + "Content-Length: 2\r\n\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("completeResponses")
  void endIsFoundWhereverReadsAreSplit(String response) {
    for (int first = 0; first <= response.length(); first++) {
      ResponseScanner scanner = new ResponseScanner(false, ID_FIELD);
      assertEquals(response.length(), scanInTwo(scanner, response + NEXT, first), response);
      assertEquals(MessageScanner.State.COMPLETE, scanner.state(), response);
    }
  }

  /** An end that is not reached keeps the connection from being reused. */
  @ParameterizedTest
  @MethodSource("completeResponses")
  void incompleteResponseStaysOpen(String response) {
    for (int length = 0; length < response.length(); length++) {
      ResponseScanner scanner = new ResponseScanner(false, ID_FIELD);
      assertEquals(length, scanInTwo(scanner, response.substring(0, length), length / 2));
      assertEquals(MessageScanner.State.OPEN, scanner.state(), response);
    }
  }

  @ParameterizedTest
  @MethodSource("headResponses")
  void responseToHeadHasNoBody(String response) {
    ResponseScanner scanner = new ResponseScanner(true, ID_FIELD);
    assertEquals(response.length(), scanInTwo(scanner, response + NEXT, 3));
    assertEquals(MessageScanner.State.COMPLETE, scanner.state());
  }

  static Stream<String> headResponses() {
    return Stream.of(
        OK + "Content-Length: 4\r\n\r\n", OK + "Transfer-Encoding: chunked\r\n\r\n", OK + "\r\n");
  }

  /**
   * A status outside the range of the protocol is no answer. A caller got one of 600 and 999 as it
   * was, and one of 000 counted as an interim response.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000", "001", "042", "099", "0", "20", "2", "0200", "00200", "600", "999", "1000", "2000",
        "+200", "-200", "2e2", "OK", "", " 200"
      })
  void invalidStatusIsNoResponse(String status) {
    for (boolean isHeadRequest : new boolean[] {true, false}) {
      for (String earlier : List.of("", "HTTP/1.1 100 Continue\r\n\r\n")) {
        for (String framing : List.of("Content-Length: 2", "Transfer-Encoding: chunked", "A: b")) {
          for (String body : List.of("", "2\r\nok\r\n0\r\n\r\n")) {
            ResponseScanner scanner = new ResponseScanner(isHeadRequest, ID_FIELD);
            String head = "HTTP/1.1 " + status + " Odd\r\n" + ID + framing + "\r\n\r\n";
            scanInTwo(scanner, earlier + head + body, earlier.length() + 4);
            assertEquals(MessageScanner.State.MALFORMED, scanner.state(), head);
            assertNull(scanner.finalHead(), head);
          }
        }
      }
    }
  }

  static Stream<Arguments> malformedResponses() {
    return Stream.of(
        Arguments.of("status line in a reason phrase", "HTTP/1.1 200 " + NEXT),
        Arguments.of("status line after a reason phrase", "HTTP/1.1 200 OK" + NEXT),
        Arguments.of("status line in a field value", OK + "X-Junk: " + NEXT),
        Arguments.of("status line in a field name", OK + "X-Ju" + NEXT),
        Arguments.of("status line in place of a field", OK + ID + NEXT),
        Arguments.of(
            "status line in a trailer", OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + NEXT),
        Arguments.of("blank line before the status", "\r\n" + NEXT),
        Arguments.of("bytes before the status", "x" + NEXT),
        Arguments.of("other protocol", "HTTP/2.0 200 OK\r\n\r\n"),
        Arguments.of("switched protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + NEXT),
        Arguments.of("status of four digits", "HTTP/1.1 2000 OK\r\n\r\n"),
        Arguments.of("status that is no number", "HTTP/1.1 2x0 OK\r\n\r\n"),
        Arguments.of("line feed alone", "HTTP/1.1 200 OK\nContent-Length: 0\n\n"),
        Arguments.of("carriage return alone", "HTTP/1.1 200 OK\rContent-Length: 0\r\n\r\n"),
        Arguments.of("folded field", OK + "A: b\r\n c\r\n\r\n"),
        Arguments.of("field without a name", OK + ": b\r\n\r\n"),
        Arguments.of("space before the colon", OK + "Content-Length : 4\r\n\r\ndone"),
        Arguments.of("two lengths", OK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
        Arguments.of("length that is no number", OK + "Content-Length: +4\r\n\r\ndone"),
        Arguments.of(
            "length and chunks",
            OK + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        Arguments.of("other transfer coding", OK + "Transfer-Encoding: gzip, chunked\r\n\r\n"),
        Arguments.of(
            "chunk size that is no number", OK + "Transfer-Encoding: chunked\r\n\r\n-1\r\n"),
        Arguments.of(
            "chunk longer than its size", OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"));
  }

  /** A malformed response has no known end, so its connection must not be reused. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("malformedResponses")
  void malformedResponseIsRejected(String name, String response) {
    for (int first = 0; first <= response.length(); first++) {
      ResponseScanner scanner = new ResponseScanner(false, ID_FIELD);
      scanInTwo(scanner, response, first);
      assertEquals(MessageScanner.State.MALFORMED, scanner.state(), name);
    }
  }

  private static int scanInTwo(ResponseScanner scanner, String response, int first) {
    ByteBuf bytes = Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1);
    int index = scanAll(scanner, bytes, 0, first);
    return index == first ? scanAll(scanner, bytes, first, response.length()) : index;
  }

  private static int scanAll(ResponseScanner scanner, ByteBuf bytes, int from, int end) {
    int index = from;
    while (index < end && scanner.state() == MessageScanner.State.OPEN) {
      index = scanner.scan(bytes, index, end);
    }
    return index;
  }
}
