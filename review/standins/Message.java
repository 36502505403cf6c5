import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An HTTP/1.1 message as it was read from a socket. */
final class Message {
  final String startLine;
  private final List<String[]> headers;
  final byte[] body;

  private Message(String startLine, List<String[]> headers, byte[] body) {
    this.startLine = startLine;
    this.headers = headers;
    this.body = body;
  }

  String header(String name) {
    for (String[] header : headers) {
      if (header[0].equals(name.toLowerCase(Locale.ROOT))) {
        return header[1];
      }
    }
    return null;
  }

  int status() {
    return Integer.parseInt(startLine.split(" ", 3)[1]);
  }

  String method() {
    return startLine.split(" ", 3)[0];
  }

  String target() {
    return startLine.split(" ", 3)[1];
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Reads a message; returns null if the stream ends before its first byte. */
  static Message read(InputStream input, boolean isResponse) throws IOException {
    String start = line(input, true);
    if (start == null) {
      return null;
    }
    List<String[]> headers = new ArrayList<>();
    String line;
    while (!(line = line(input, false)).isEmpty()) {
      int colon = line.indexOf(':');
      headers.add(
          new String[] {
            line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
            line.substring(colon + 1).trim()
          });
    }
    Message head = new Message(start, headers, new byte[0]);
    return new Message(start, headers, readBody(input, head, isResponse));
  }

  private static byte[] readBody(InputStream input, Message head, boolean isResponse)
      throws IOException {
    String encoding = head.header("transfer-encoding");
    if (encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size;
      while ((size = Integer.parseInt(line(input, false).split(";", 2)[0].trim(), 16)) > 0) {
        body.write(exactly(input, size));
        line(input, false);
      }
      while (!line(input, false).isEmpty()) {
        // Skips trailer fields.
      }
      return body.toByteArray();
    }
    String length = head.header("content-length");
    if (length != null) {
      return exactly(input, Integer.parseInt(length));
    }
    boolean hasNoBody = !isResponse || head.status() < 200 || head.status() == 204
        || head.status() == 304;
    return hasNoBody ? new byte[0] : input.readAllBytes();
  }

  private static byte[] exactly(InputStream input, int size) throws IOException {
    byte[] bytes = input.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("body has " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  private static String line(InputStream input, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next;
    while ((next = input.read()) != '\n') {
      if (next < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("the head ended early");
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
