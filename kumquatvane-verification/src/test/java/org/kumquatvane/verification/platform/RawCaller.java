package org.kumquatvane.verification.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Caller that sends one request on a connection of its own and judges from the bytes alone whether
 * the response is complete.
 */
final class RawCaller {
  private static final int READ_TIMEOUT_MILLIS = 15_000;
  private static final int FIRST_STATUS_WITH_BODY = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final int port;

  /** How the bytes of a response ended. */
  enum End {
    COMPLETE,
    CLOSED_BEFORE_END,
    TIMED_OUT
  }

  /**
   * A response as far as it was received.
   *
   * @param status status, or 0 if the head is not complete
   * @param fields header fields by lower-case name
   * @param body received part of the body
   * @param end how the response ended
   */
  record Response(int status, Map<String, String> fields, String body, End end) {
    boolean isComplete() {
      return end == End.COMPLETE;
    }

    boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  RawCaller(int port) {
    this.port = port;
  }

  Response send(String method, String target, String requestId) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request(method, target, requestId));
      return read(method, new BufferedInputStream(socket.getInputStream()));
    }
  }

  private static byte[] request(String method, String target, String requestId) {
    String body = method.equals("POST") ? "a booking" : "";
    return (method
            + " "
            + target
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
            + requestId
            + "\r\nX-Deadline-Ms: 30000\r\nAuthorization: Token "
            + PlatformFleet.KEY
            + (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length())
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static Response read(String method, InputStream input) {
    Map<String, String> fields = new HashMap<>();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    End end = End.COMPLETE;
    try {
      int statusInHead = Integer.parseInt(readLine(input).split(" ", 3)[1]);
      for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
        int colon = line.indexOf(':');
        fields.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      status = statusInHead;
      if (hasBody(method, status)) {
        readBody(input, fields, body);
      }
    } catch (SocketTimeoutException e) {
      end = End.TIMED_OUT;
    } catch (IOException e) {
      end = End.CLOSED_BEFORE_END;
    }
    return new Response(status, fields, body.toString(StandardCharsets.ISO_8859_1), end);
  }

  private static boolean hasBody(String method, int status) {
    return !method.equals("HEAD")
        && status >= FIRST_STATUS_WITH_BODY
        && status != NO_CONTENT
        && status != NOT_MODIFIED;
  }

  private static void readBody(
      InputStream input, Map<String, String> fields, ByteArrayOutputStream body)
      throws IOException {
    if (fields.containsKey("transfer-encoding")) {
      readChunks(input, body);
    } else if (fields.containsKey("content-length")) {
      readBytes(input, Long.parseLong(fields.get("content-length")), body);
    } else {
      input.transferTo(body);
    }
  }

  private static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
    for (int size = readSize(input); size > 0; size = readSize(input)) {
      readBytes(input, size, body);
      readLine(input);
    }
    String trailer = readLine(input);
    while (!trailer.isEmpty()) {
      trailer = readLine(input);
    }
  }

  private static int readSize(InputStream input) throws IOException {
    return Integer.parseInt(readLine(input), 16);
  }

  private static void readBytes(InputStream input, long length, ByteArrayOutputStream body)
      throws IOException {
    byte[] part = new byte[8_192];
    for (long left = length; left > 0; ) {
      int count = input.read(part, 0, (int) Math.min(part.length, left));
      if (count < 0) {
        throw new EOFException("the connection ended within the body");
      }
      body.write(part, 0, count);
      left -= count;
    }
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended within a line");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
