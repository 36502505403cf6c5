package org.kumquatvane.bench;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One keep-alive connection that repeatedly sends the same look-up. */
final class LoadConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final Socket socket;
  private final InputStream input;
  private final byte[] request;

  LoadConnection(int port, String key) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    input = new BufferedInputStream(socket.getInputStream(), 4_096);
    request =
        ("GET /rota/bench HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer " + key + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends the request and reads the complete response; returns its status. */
  int sendRequest() throws IOException {
    socket.getOutputStream().write(request);
    int status = Integer.parseInt(readLine().split(" ", 3)[1]);
    int length = 0;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring("content-length:".length()).trim());
      }
    }
    input.skipNBytes(length);
    return status;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder(64);
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection closed before the response was complete");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
