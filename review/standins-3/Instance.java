import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of an instance of a service, which follows the pages unless a behaviour is set. */
final class Instance implements AutoCloseable {
  /** Answers a request that it runs; returns whether the connection stays open. */
  interface Behaviour {
    boolean answer(Instance instance, Http.Message request, Socket socket) throws Exception;
  }

  /** A request that the instance began to work on. */
  record Run(double atSeconds, String requestId, String tenant, String method, String target,
      String body, String authorization) {}

  final String id;
  final String service;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final RunRecord record;
  private final int port;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  volatile Behaviour behaviour = Instance::success;
  volatile long workMillis = 20;
  private final ServerSocket server;
  private long sequence;

  Instance(RunRecord record, String id, String service) throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    port = server.getLocalPort();
    listen();
  }

  String key() {
    return "servers/" + id;
  }

  synchronized String entry(String state) {
    sequence++;
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
        + "\",\"zone\":\"waikato\",\"version\":\"v1\",\"concurrency\":3,\"state\":\"" + state
        + "\",\"warmupLeftS\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
  }

  private void listen() {
    Store.daemon(
        () -> {
          while (!server.isClosed()) {
            try {
              Socket socket = server.accept();
              open.add(socket);
              Store.daemon(() -> serve(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message request;
      while ((request = Http.readHead(in)) != null) {
        Http.readRequestBody(in, request);
        if (!handle(request, socket)) {
          return;
        }
      }
    } catch (Exception e) {
      record.line("instance " + id + ": connection ended: " + e);
    } finally {
      open.remove(socket);
    }
  }

  private boolean handle(Http.Message request, Socket socket) throws Exception {
    if (request.target().equals("/healthz")) {
      return send(socket, "200 OK", "X-Instance-Id: " + id + "\r\n", "");
    }
    String requestId = request.header("x-request-id");
    if (requestId == null) {
      return send(socket, "400 Bad Request", "X-Not-Executed: 1\r\n", "");
    }
    String expected = request.header("x-expect-instance");
    if (expected != null && !expected.equals(id)) {
      record.line("instance " + id + ": 421 for " + requestId + " which expects " + expected);
      return send(
          socket,
          "421 Misdirected Request",
          "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n",
          "");
    }
    runs.add(
        new Run(
            record.seconds(),
            requestId,
            request.header("x-tenant-id"),
            request.method(),
            request.target(),
            request.text().length() > 100 ? request.text().length() + " bytes" : request.text(),
            request.header("authorization")));
    record.line(
        "instance " + id + ": runs " + requestId + " " + request.method() + " "
            + request.target() + " tenant=" + request.header("x-tenant-id"));
    return behaviour.answer(this, request, socket);
  }

  /** Works and answers with success. */
  static boolean success(Instance instance, Http.Message request, Socket socket)
      throws Exception {
    Thread.sleep(instance.workMillis);
    String requestId = request.header("x-request-id");
    String body = instance.bodyFor(requestId);
    return instance.send(
        socket,
        "200 OK",
        "X-Request-Id: " + requestId + "\r\nX-Response-Signature: " + instance.sign(body) + "\r\n",
        body);
  }

  String bodyFor(String requestId) {
    return "done " + requestId + " by " + id;
  }

  String sign(String body) {
    return id + "." + Integer.toHexString(body.hashCode());
  }

  boolean send(Socket socket, String status, String fields, String body) throws IOException {
    OutputStream out = socket.getOutputStream();
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    String head = "HTTP/1.1 " + status + "\r\n" + fields + "Keep-Alive: timeout=10\r\n"
        + "Content-Length: " + bytes.length + "\r\n\r\n";
    byte[] all = (head + body).getBytes(StandardCharsets.ISO_8859_1);
    out.write(all);
    out.flush();
    return true;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
