package org.kumquatvane.verification.platform;

import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Bytes that an instance sends after a complete response although no request asks for them.
 *
 * @param name name in the report of the tests
 * @param bytes the bytes
 */
record Leftover(String name, Bytes bytes) {
  /** Length of a status line with an empty reason phrase, without its line end. */
  private static final int STATUS_LENGTH = "HTTP/1.1 200 ".length();

  static final Leftover NOTHING = fixed("nothing", "");

  /** Begins a head whose last line is open, so that the next status line becomes its value. */
  static final Leftover OPEN_FIELD =
      new Leftover("open field", (previous, encoded, nextId) -> previous.statusLine() + "X-Open: ");

  static final Leftover COPY_AND_PART =
      new Leftover(
          "copy and part of another",
          (previous, encoded, nextId) -> encoded + encoded.substring(0, STATUS_LENGTH));

  private static final InstanceResponse SAMPLE =
      ResponseFraming.CONTENT_LENGTH.response("0".repeat(16));

  /** Computes the bytes for the responses before and after them. */
  @FunctionalInterface
  interface Bytes {
    /**
     * Returns the bytes.
     *
     * @param previous the complete response before them
     * @param encoded all bytes of that response
     * @param nextId ID of the next request, which an instance knows only when it has arrived
     */
    String of(InstanceResponse previous, String encoded, String nextId);
  }

  private static Leftover fixed(String name, String text) {
    return new Leftover(name, (previous, encoded, nextId) -> text);
  }

  /** A second copy of the response that ends after some bytes. */
  static Leftover copyCutAt(int length) {
    return new Leftover(
        "copy cut at " + length, (previous, encoded, nextId) -> encoded.substring(0, length));
  }

  /** Second copies that end within the head or after it. */
  static Stream<Leftover> cutCopies() {
    return IntStream.rangeClosed(1, SAMPLE.head(lengthField(SAMPLE)).length())
        .mapToObj(Leftover::copyCutAt);
  }

  /** Second copies with the ID as the last field that end before the ID. */
  static Stream<Leftover> cutCopiesWithLastId() {
    int idEnd = (SAMPLE.requestId() + "\r\n\r\n").length();
    return IntStream.rangeClosed(
            SAMPLE.statusLine().length(),
            SAMPLE.headWithLastId(lengthField(SAMPLE)).length() - idEnd)
        .mapToObj(
            length ->
                new Leftover(
                    "copy with last ID cut at " + length,
                    (previous, encoded, nextId) ->
                        previous.headWithLastId(lengthField(previous)).substring(0, length)));
  }

  /** Second copies that end where the next status line can become the reason phrase. */
  static Stream<Leftover> cutReasonPhrases() {
    return IntStream.rangeClosed(STATUS_LENGTH, STATUS_LENGTH + "OK".length())
        .mapToObj(Leftover::copyCutAt);
  }

  /** Bytes that once became part of the next response, or are likely to, in any framing. */
  static Stream<Leftover> combined() {
    return Stream.of(
        copyCutAt(STATUS_LENGTH),
        copyCutAt(STATUS_LENGTH + 1),
        OPEN_FIELD,
        fixed("blank lines", "\r\n\r\n"),
        COPY_AND_PART);
  }

  /** Further bytes that an instance can send at any time. */
  static Stream<Leftover> others() {
    return Stream.of(
        OPEN_FIELD,
        COPY_AND_PART,
        new Leftover(
            "length and open field",
            (previous, encoded, nextId) ->
                previous.statusLine() + lengthField(previous) + "X-Open: "),
        new Leftover(
            "other length and open field",
            (previous, encoded, nextId) -> previous.statusLine() + "Content-Length: 7\r\nX-Open: "),
        new Leftover(
            "signature and open field",
            (previous, encoded, nextId) ->
                previous.statusLine() + previous.signatureLine() + "X-Open: "),
        fixed(
            "refusal with open field",
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Open: "),
        new Leftover(
            "head without ID",
            (previous, encoded, nextId) -> previous.statusLine() + "X-Field: 1\r\n"),
        new Leftover(
            "head with folded line",
            (previous, encoded, nextId) -> previous.statusLine() + "X-Field: 1\r\n "),
        fixed("status line with CR", "HTTP/1.1 200 OK\r"),
        fixed("status line with LF", "HTTP/1.1 200 OK\n"),
        fixed("status line of HTTP/1.0", "HTTP/1.0 200 "),
        fixed("open chunk", "5\r\nab"),
        fixed("last chunk", "0\r\n\r\n"),
        new Leftover(
            "copy with open chunk",
            (previous, encoded, nextId) ->
                previous.head("Transfer-Encoding: chunked\r\n") + "5\r\nab"),
        fixed("blank lines", "\r\n\r\n"),
        fixed("line feed", "\n"),
        fixed("interim 100", "HTTP/1.1 100 Continue\r\n\r\n"),
        fixed("interim 103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        fixed("interim 100 cut in its status line", "HTTP/1.1 100 Con"),
        fixed("interim 100 without end", "HTTP/1.1 100 Continue\r\n"),
        fixed("interim 103 with open field", "HTTP/1.1 103 Early Hints\r\nX-Open: "),
        fixed("garbage", "garbage"),
        fixed("line of garbage", "garbage\r\n"),
        fixed("control bytes", "\u0001\u0002"),
        fixed("NUL bytes", "\0\0\0"),
        fixed("spaces", "   "),
        new Leftover("copy", (previous, encoded, nextId) -> encoded),
        new Leftover("two copies", (previous, encoded, nextId) -> encoded + encoded));
  }

  /** Heads with the IDs of both requests, which an instance can send once it knows both. */
  static Stream<Leftover> withBothIds() {
    return Stream.of(
        new Leftover(
            "IDs of previous and next with open field",
            (previous, encoded, nextId) ->
                previous.statusLine() + previous.idLine() + idLine(nextId) + "X-Open: "),
        new Leftover(
            "IDs of next and previous with open field",
            (previous, encoded, nextId) ->
                previous.statusLine() + idLine(nextId) + previous.idLine() + "X-Open: "),
        new Leftover(
            "response with IDs of previous and next",
            (previous, encoded, nextId) ->
                previous.head(idLine(nextId) + lengthField(previous)) + previous.body()),
        new Leftover(
            "response with IDs of next and previous",
            (previous, encoded, nextId) ->
                previous.statusLine()
                    + idLine(nextId)
                    + previous.idLine()
                    + previous.signatureLine()
                    + lengthField(previous)
                    + "\r\n"
                    + previous.body()));
  }

  private static String idLine(String id) {
    return "X-Request-Id: " + id + "\r\n";
  }

  private static String lengthField(InstanceResponse response) {
    return InstanceResponse.lengthField(response.body());
  }

  @Override
  public String toString() {
    return name;
  }
}
