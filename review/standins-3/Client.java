import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A consumer: one connection to an entry VM. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

  /** What the consumer saw. */
  record Answer(String requestId, int status, Http.Message message, String failure) {
    @Override
    public String toString() {
      return failure == null
          ? requestId + " -> " + status + " signature=" + message.header("x-response-signature")
              + " retry-after=" + message.header("retry-after") + " body="
              + (message.text().length() > 80 ? message.body.length + " bytes" : message.text().trim())
          : requestId + " -> " + failure;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  static String head(
      String method, String path, String id, long deadlineMillis, String key, String more) {
    return method + " " + path + " HTTP/1.1\r\nHost: rota.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n"
        + (key == null ? "" : "Authorization: Token " + key + "\r\n") + more + "\r\n";
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads the next answer. */
  Answer read(String id, long timeoutMillis) {
    try {
      socket.setSoTimeout((int) timeoutMillis);
      Http.Message message = Http.readHead(in);
      if (message == null) {
        return new Answer(id, 0, null, "closed without an answer");
      }
      Http.readResponseBody(in, message, false);
      return new Answer(id, message.status(), message, null);
    } catch (SocketTimeoutException e) {
      return new Answer(id, -1, null, "no answer in " + timeoutMillis + " ms");
    } catch (IOException e) {
      return new Answer(id, 0, null, "broken off: " + e.getMessage());
    }
  }

  /** Sends one request on a new connection. */
  static Answer request(
      int port, String method, String path, String body, long deadlineMillis, String key) {
    String id = newId();
    try (Client client = new Client(port)) {
      client.write(
          head(method, path, id, deadlineMillis, key,
                  body == null ? "" : "Content-Length: " + body.length() + "\r\n")
              + (body == null ? "" : body));
      return client.read(id, deadlineMillis + 3_000);
    } catch (IOException e) {
      return new Answer(id, 0, null, "not connected: " + e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
