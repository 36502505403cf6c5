import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A caller's connection to an entry VM; sends exact bytes and reads one answer at a time. */
final class Caller implements AutoCloseable {
  /** An answer; {@code whole} is false if it ended early. */
  static final class Answer {
    int status;
    final List<String> head = new ArrayList<>();
    byte[] body = new byte[0];
    boolean whole;
    String failure = "";

    String header(String name) {
      String prefix = name.toLowerCase(Locale.ROOT) + ":";
      for (String line : head) {
        if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
          return line.substring(prefix.length()).trim();
        }
      }
      return "";
    }

    @Override
    public String toString() {
      return status + (whole ? "" : " (not whole) " + failure);
    }
  }

  private final Socket socket;
  private final InputStream in;

  Caller(int port) throws IOException {
    socket = new Socket();
    socket.connect(new InetSocketAddress(Rig.HOST, port), 1_000);
    socket.setTcpNoDelay(true);
    in = new java.io.BufferedInputStream(socket.getInputStream());
  }

  Socket socket() {
    return socket;
  }

  Answer send(String head, byte[] body, int timeoutMillis) throws IOException {
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    write(all);
    return read(timeoutMillis);
  }

  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads one answer; a failure is reported in the answer. */
  Answer read(int timeoutMillis) {
    Answer answer = new Answer();
    try {
      socket.setSoTimeout(timeoutMillis);
      String line = line();
      answer.status = Integer.parseInt(line.substring(9, 12));
      answer.head.add(line);
      while (!(line = line()).isEmpty()) {
        answer.head.add(line);
      }
      answer.body = body(answer);
      answer.whole = true;
    } catch (IOException | RuntimeException e) {
      answer.failure = e.toString();
    }
    return answer;
  }

  private byte[] body(Answer answer) throws IOException {
    if (!answer.header("content-length").isEmpty()) {
      return exactly(Integer.parseInt(answer.header("content-length")));
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (answer.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      int size;
      while ((size = Integer.parseInt(line().split(";")[0].trim(), 16)) > 0) {
        out.write(exactly(size));
        line();
      }
      while (!line().isEmpty()) {
        // Trailers are not used.
      }
    }
    return out.toByteArray();
  }

  private byte[] exactly(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("answer ended early");
    }
    return bytes;
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    int next;
    while ((next = in.read()) != '\n') {
      if (next < 0) {
        throw new EOFException("connection ended");
      }
      line.append((char) next);
    }
    int length = line.length();
    return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Builds a request head. */
  static String head(String method, String path, String host, String id, int deadlineMs, String key, int length) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\n"
        + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
  }
}
