import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a consumer: one connection to the front address of a VM. */
final class Client implements AutoCloseable {
  private static final AtomicLong NEXT_ID = new AtomicLong();

  final Socket socket = new Socket();
  private final InputStream input;

  Client(int port, int timeoutMillis) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
    socket.setSoTimeout(timeoutMillis);
    input = new BufferedInputStream(socket.getInputStream());
  }

  static String newId() {
    return String.format("%08x%08x", ProcessHandle.current().pid(), NEXT_ID.incrementAndGet());
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  Message receive() throws IOException {
    return Message.read(input, true);
  }

  Message exchange(String text) throws IOException {
    send(text);
    return receive();
  }

  /** Returns the head of a request without the empty line. */
  static String head(String method, String target, String id, String key, long deadlineMillis) {
    return method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n"
        + (key == null ? "" : "Authorization: Token " + key + "\r\n");
  }

  /** Sends one request on a connection of its own; returns 0 if there is no complete answer. */
  static int status(Record record, Harness.Vm vm, String method, String target, String key) {
    return status(record, vm, method, target, key, newId());
  }

  static int status(
      Record record, Harness.Vm vm, String method, String target, String key, String id) {
    record.add("send id=" + id + " vm=" + vm.name + " " + method + " " + target + " key=" + key);
    int status = 0;
    try (Client client = new Client(vm.callerPort, 4_000)) {
      String body = method.equals("GET") ? "" : "Content-Length: 9\r\n";
      Message answer =
          client.exchange(
              head(method, target, id, key, 3_000) + body + "\r\n"
                  + (method.equals("GET") ? "" : "a booking"));
      status = answer == null ? 0 : answer.status();
    } catch (IOException e) {
      // Counted as no answer.
    }
    record.add("answer id=" + id + " vm=" + vm.name + " status=" + status);
    return status;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
