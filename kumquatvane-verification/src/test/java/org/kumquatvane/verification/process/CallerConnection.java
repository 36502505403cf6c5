package org.kumquatvane.verification.process;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One keep-alive connection of a caller, which can also send malformed requests. */
public final class CallerConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 90_000;
  private static final int FIRST_FINAL_STATUS = 200;

  private final Socket socket;
  private final InputStream input;

  CallerConnection(int port) throws IOException {
    this(port, READ_TIMEOUT_MILLIS);
  }

  public CallerConnection(int port, int readTimeoutMillis) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readTimeoutMillis);
    input = socket.getInputStream();
  }

  RawResponse get(String target, String key) throws IOException {
    send("GET " + target + " HTTP/1.1", "Authorization: Bearer " + key);
    return readResponse();
  }

  RawResponse post(String target, String key, String operationKey, String body) throws IOException {
    sendPost(target, key, operationKey, body);
    return readResponse();
  }

  void sendPost(String target, String key, String operationKey, String body) throws IOException {
    write(
        "POST "
            + target
            + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
            + key
            + "\r\nIdempotency-Key: "
            + operationKey
            + "\r\nContent-Length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + "\r\n\r\n"
            + body);
  }

  /** Sends a head without a body. */
  void send(String requestLine, String... headerLines) throws IOException {
    StringBuilder head = new StringBuilder(requestLine).append("\r\nHost: test\r\n");
    for (String line : headerLines) {
      head.append(line).append("\r\n");
    }
    write(head.append("\r\n").toString());
  }

  public void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Returns the number of bytes that have arrived and were not read. */
  public int availableBytes() throws IOException {
    return input.available();
  }

  /** Closes the connection with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /**
   * Reads one response.
   *
   * @throws EOFException if the connection ends before the head is complete
   */
  public RawResponse readResponse() throws IOException {
    RawResponse head = readHead();
    if (head.status() < FIRST_FINAL_STATUS) {
      return head;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean isComplete;
    try {
      isComplete =
          head.header("Transfer-Encoding").isEmpty()
              ? readBytes(Long.parseLong("0" + head.header("Content-Length")), body)
              : readChunks(body);
    } catch (SocketException | EOFException e) {
      isComplete = false;
    }
    return new RawResponse(head.status(), head.headers(), body.toByteArray(), isComplete);
  }

  /**
   * Reads a head that no body follows.
   *
   * @throws EOFException if the connection ends before the head is complete
   */
  public RawResponse readHead() throws IOException {
    String statusLine = readLine();
    List<String> headers = new ArrayList<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      headers.add(line);
    }
    return new RawResponse(
        Integer.parseInt(statusLine.split(" ", 3)[1]), headers, new byte[0], true);
  }

  private boolean readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      int length = Integer.parseInt(readLine(), 16);
      if (!readBytes(length, body)) {
        return false;
      }
      readLine();
      if (length == 0) {
        return true;
      }
    }
  }

  private boolean readBytes(long length, ByteArrayOutputStream body) throws IOException {
    byte[] buffer = new byte[65_536];
    for (long left = length; left > 0; ) {
      int count = input.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (count < 0) {
        return false;
      }
      body.write(buffer, 0, count);
      left -= count;
    }
    return true;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection closed before the head was complete");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
