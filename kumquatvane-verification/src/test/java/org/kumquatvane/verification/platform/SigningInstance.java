package org.kumquatvane.verification.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An instance whose response bodies and signatures follow from the request's ID and the status, so
 * that a caller can tell whether it got the whole response to its own request. It records what it
 * runs, and each request whose bytes are not those that the caller with its ID sent.
 */
final class SigningInstance implements AutoCloseable {
  private static final int NO_LIMIT = 0;

  private final ServerSocket server = new ServerSocket();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final List<String> faults = new CopyOnWriteArrayList<>();
  private final Responder responder;

  /** Answers one request; the connection ends if it throws. */
  @FunctionalInterface
  interface Responder {
    void respond(Request request, OutputStream output) throws IOException, InterruptedException;
  }

  /** One request; its body is read when the responder asks for it, or after the response. */
  final class Request {
    private final String method;
    private final String target;
    private final Map<String, String> fields;
    private final InputStream input;
    private final Socket socket;
    private boolean isBodyRead;

    private Request(
        String method,
        String target,
        Map<String, String> fields,
        InputStream input,
        Socket socket) {
      this.method = method;
      this.target = target;
      this.fields = fields;
      this.input = input;
      this.socket = socket;
    }

    String id() {
      return fields.getOrDefault("x-request-id", "");
    }

    String method() {
      return method;
    }

    /** Returns a parameter of the query, or 0. */
    int parameter(String name) {
      for (String part : target.substring(target.indexOf('?') + 1).split("&", -1)) {
        if (part.startsWith(name + "=")) {
          return Integer.parseInt(part.substring(name.length() + 1));
        }
      }
      return 0;
    }

    /** Ends the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    void countRun() {
      runs.merge(id(), 1, Integer::sum);
    }

    /** Reads the body and compares it with what a caller with this ID sends. */
    void readBody() throws IOException {
      if (isBodyRead) {
        return;
      }
      isBodyRead = true;
      byte[] body =
          fields.containsKey("transfer-encoding")
              ? readChunks()
              : readExactly(Integer.parseInt(fields.getOrDefault("content-length", "0")));
      String sent = requestBody(id(), parameter("sends"));
      if (!sent.equals(new String(body, StandardCharsets.ISO_8859_1))) {
        faults.add(method + " " + target + " with id " + id() + " came with another body");
      }
    }

    private byte[] readChunks() throws IOException {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (int size = Integer.parseInt(readLine(input), 16);
          size > 0;
          size = Integer.parseInt(readLine(input), 16)) {
        body.write(readExactly(size));
        readLine(input);
      }
      readLine(input);
      return body.toByteArray();
    }

    private byte[] readExactly(int length) throws IOException {
      byte[] bytes = input.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("the body ended early");
      }
      return bytes;
    }
  }

  SigningInstance(Responder responder) throws IOException {
    this(responder, NO_LIMIT);
  }

  /**
   * Starts an instance.
   *
   * @param responder answers the requests
   * @param receiveBufferBytes size of the receive buffers, or 0 for the usual one
   */
  SigningInstance(Responder responder, int receiveBufferBytes) throws IOException {
    this.responder = responder;
    if (receiveBufferBytes > NO_LIMIT) {
      server.setReceiveBufferSize(receiveBufferBytes);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
    threads.execute(this::acceptConnections);
  }

  static String requestBody(String id, int length) {
    return pattern("request of " + id, length);
  }

  static String responseBody(String id, int status, int length) {
    return pattern("response " + status + " to " + id, length);
  }

  static String signature(String id, int status, int length) {
    return id + "." + status + "." + length;
  }

  private static String pattern(String unit, int length) {
    StringBuilder text = new StringBuilder(length);
    for (int i = 0; text.length() < length; i++) {
      text.append(unit).append(' ').append(i).append('\n');
    }
    return text.substring(0, length);
  }

  /** Returns a signed response with a declared length. */
  static String response(String id, int status, int length, String fields) {
    return "HTTP/1.1 "
        + status
        + " S\r\nX-Request-Id: "
        + id
        + "\r\nX-Response-Signature: "
        + signature(id, status, length)
        + "\r\nContent-Length: "
        + length
        + "\r\n"
        + fields
        + "\r\n"
        + responseBody(id, status, length);
  }

  String storeEntry(String service, int slots) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"a","concurrency":%d,"state":"ready"}
        """
        .formatted(service, server.getLocalPort(), slots);
  }

  int countRuns(String id) {
    return runs.getOrDefault(id, 0);
  }

  /** Returns the IDs of all requests that ran. */
  Set<String> ranIds() {
    return Set.copyOf(runs.keySet());
  }

  /** Returns descriptions of requests whose bytes were not those that a caller sent. */
  List<String> faults() {
    return List.copyOf(faults);
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = readHead(input, socket);
        if (request.target.startsWith("/healthz")) {
          RawInstance.write(
              socket.getOutputStream(), "HTTP/1.1 200 S\r\nContent-Length: 0\r\n\r\n");
        } else {
          responder.respond(request, socket.getOutputStream());
          request.readBody();
        }
      }
    } catch (IOException closed) {
      // The VM closed the connection, or the responder did.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException malformed) {
      faults.add("a request cannot be read: " + malformed);
    } finally {
      connections.remove(socket);
    }
  }

  private Request readHead(InputStream input, Socket socket) throws IOException {
    String[] requestLine = readLine(input).split(" ", -1);
    Map<String, String> fields = new HashMap<>();
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      int colon = line.indexOf(':');
      fields.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Request(requestLine[0], requestLine[1], fields, input, socket);
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
