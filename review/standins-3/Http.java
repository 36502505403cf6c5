import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /** A message whose body has been read completely. */
  static final class Message {
    String startLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    boolean complete = true;

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads a head; returns null at the end of the stream before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    message.startLine = line;
    while (true) {
      String field = readLine(in);
      if (field == null) {
        throw new IOException("the head ended early");
      }
      if (field.isEmpty()) {
        return message;
      }
      int colon = field.indexOf(':');
      message.headers.put(
          field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          field.substring(colon + 1).trim());
    }
  }

  /** Reads the body of a request. */
  static void readRequestBody(InputStream in, Message message) throws IOException {
    readBody(in, message, false);
  }

  /** Reads the body of a response, which may end with its connection. */
  static void readResponseBody(InputStream in, Message message, boolean isHead) throws IOException {
    int status = message.status();
    if (!isHead && status >= 200 && status != 204 && status != 304) {
      readBody(in, message, true);
    }
  }

  private static void readBody(InputStream in, Message message, boolean mayEndWithConnection)
      throws IOException {
    String coding = message.header("transfer-encoding");
    String length = message.header("content-length");
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (coding != null && coding.equalsIgnoreCase("chunked")) {
      while (true) {
        String sizeLine = readLine(in);
        if (sizeLine == null) {
          throw new IOException("the body ended early");
        }
        int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
        copy(in, body, size);
        String end = readLine(in);
        if (size == 0) {
          while (end != null && !end.isEmpty()) {
            end = readLine(in);
          }
          break;
        }
      }
    } else if (length != null) {
      copy(in, body, Integer.parseInt(length));
    } else if (mayEndWithConnection) {
      int next;
      while ((next = in.read()) >= 0) {
        body.write(next);
      }
    }
    message.body = body.toByteArray();
  }

  private static void copy(InputStream in, ByteArrayOutputStream body, int size)
      throws IOException {
    byte[] bytes = in.readNBytes(size);
    body.writeBytes(bytes);
    if (bytes.length < size) {
      throw new IOException("the body ended early");
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) >= 0) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    if (line.size() > 0) {
      throw new IOException("a line ended early");
    }
    return null;
  }
}
