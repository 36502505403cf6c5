import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of an instance: sound unless its handler says otherwise. */
final class Instance implements AutoCloseable {
  /** A request as the instance has read it. */
  static final class Request {
    String method;
    String path;
    final List<String> head = new ArrayList<>();
    byte[] body = new byte[0];

    String header(String name) {
      String prefix = name.toLowerCase(Locale.ROOT) + ":";
      for (String line : head) {
        if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
          return line.substring(prefix.length()).trim();
        }
      }
      return "";
    }

    String id() {
      return header("x-request-id");
    }
  }

  /** What the instance does with a request; returns whether the connection is kept. */
  interface Handler {
    boolean handle(Instance instance, Request request, Socket socket, OutputStream out)
        throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  final String zone;
  final int slots;
  private final Rig rig;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Ids of the requests whose head has been read. */
  final Set<String> reached = ConcurrentHashMap.newKeySet();

  private volatile Handler handler = Instance::answerSoundly;
  private volatile boolean closed;

  Instance(Rig rig, String id, String service, String zone, int slots) throws IOException {
    this.rig = rig;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    server = new ServerSocket(rig.freePort(), 200, InetAddress.getByName(Rig.HOST));
    thread(this::accept);
  }

  void setHandler(Handler changed) {
    handler = changed;
  }

  int port() {
    return server.getLocalPort();
  }

  String key() {
    return "servers/" + id;
  }

  String entry(String state) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + Rig.HOST + ":" + port()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"concurrency\":" + slots
        + ",\"state\":\"" + state + "\",\"warmupLeftS\":0,\"sequence\":4,\"born\":1700000000000}";
  }

  /** Runs a request and answers it with a proof and a body that names it. */
  static boolean answerSoundly(Instance instance, Request request, Socket socket, OutputStream out)
      throws IOException {
    instance.ran(request);
    out.write(instance.answer(request, "200 OK", "ran " + request.id()));
    out.flush();
    return true;
  }

  void ran(Request request) {
    rig.note("run " + id + " " + request.method + " " + request.path + " id=" + request.id());
  }

  /** Builds a whole answer. */
  byte[] answer(Request request, String status, String body) {
    return ("HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.id()
            + "\r\nX-Response-Signature: proof-" + request.id()
            + "\r\nContent-Length: " + body.length() + "\r\nKeep-Alive: timeout=10\r\n\r\n" + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Request request;
      while ((request = readHead(in)) != null) {
        reached.add(request.id());
        request.body = readBody(request, in);
        if (!request.header("x-expect-instance").isEmpty()
            && !request.header("x-expect-instance").equals(id)) {
          out.write(
              ("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nX-Request-Id: "
                      + request.id() + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
        } else if (!handler.handle(this, request, socket, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  static Request readHead(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    Request request = new Request();
    request.method = line.split(" ")[0];
    request.path = line.split(" ")[1];
    while (!(line = line(in)).isEmpty()) {
      request.head.add(line);
    }
    return request;
  }

  static byte[] readBody(Request request, InputStream in) throws IOException {
    if (!request.header("content-length").isEmpty()) {
      int length = Integer.parseInt(request.header("content-length"));
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("the body ended early");
      }
      return body;
    }
    if (!request.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      return new byte[0];
    }
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    int size;
    while ((size = Integer.parseInt(line(in).split(";")[0].trim(), 16)) > 0) {
      out.write(in.readNBytes(size));
      line(in);
    }
    while (!line(in).isEmpty()) {
      // Trailers are not used.
    }
    return out.toByteArray();
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next;
    while ((next = in.read()) != '\n') {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
