package org.kumquatvane.verification.platform;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/** An instance of a service as the platform's protocol describes it, with faults to choose. */
public final class InstanceStandIn implements AutoCloseable {
  /** Bytes that an answer which is cut short lacks. */
  private static final int MISSING_BYTES = 10;

  private static final int LONGEST_MILLIS = 60_000;

  private final String id;
  private final String service;
  private final UnaryOperator<String> body;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private volatile Behaviour behaviour = Behaviour.WELL;
  private volatile long workMillis;

  /** How an instance answers. */
  public enum Behaviour {
    /** It runs the request and answers. */
    WELL,
    /** It takes the request and never answers. */
    HANGS,
    /** It refuses the request and says that it has not run it. */
    SHEDS,
    /** It fails with 503 and does not say that it has not run the request. */
    FAILS_WITH_503,
    /** It fails with 500. */
    FAILS_WITH_500,
    /** Something else than the instance answers: the signature is missing. */
    UNSIGNED,
    /** It answers another request. */
    CROSSED,
    /** Another instance has its address. */
    MISDIRECTED,
    /** It runs the request and ends the connection before its answer is complete. */
    CUTS_ANSWER,
    /** It runs the request and ends the connection without an answer. */
    LOSES_ANSWER
  }

  /** A request that the instance began to run at a time of {@link System#nanoTime}. */
  public record Received(
      long atNanos,
      String requestId,
      @Nullable String workspace,
      @Nullable String authorization,
      @Nullable String expectedInstance,
      long timeLeftMillis,
      String target,
      String body) {}

  public InstanceStandIn(String id, String service) {
    this(id, service, requestId -> "done");
  }

  /** Creates an instance whose answers have a body that follows from the request's id. */
  public InstanceStandIn(String id, String service, UnaryOperator<String> body) {
    this.body = body;
    this.id = id;
    this.service = service;
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  public String key() {
    return "servers/" + id;
  }

  String entry(String state) {
    return entry(state, port());
  }

  public int port() {
    return server.getAddress().getPort();
  }

  /** Returns the entry in the store for an instance that is reached through a port. */
  public String entry(String state, int port) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"a","version":"v1","concurrency":3,
         "state":"%s","warmupLeftS":0,"sequence":1,"born":1}
        """
        .formatted(service, port, state);
  }

  public void set(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  public void setWorkMillis(long millis) {
    workMillis = millis;
  }

  public List<Received> ran() {
    return received;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String sent = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Headers headers = exchange.getRequestHeaders();
    Headers answer = exchange.getResponseHeaders();
    answer.set("X-Request-Id", String.valueOf(headers.getFirst("X-Request-Id")));
    Behaviour now = behaviour;
    if (now == Behaviour.MISDIRECTED) {
      answer.set("X-Instance-Id", "another");
      finish(exchange, 421);
      return;
    }
    if (now == Behaviour.SHEDS) {
      answer.set("X-Not-Executed", "1");
      finish(exchange, 503);
      return;
    }
    received.add(
        new Received(
            System.nanoTime(),
            String.valueOf(headers.getFirst("X-Request-Id")),
            headers.getFirst("X-Tenant-Id"),
            headers.getFirst("Authorization"),
            headers.getFirst("X-Expect-Instance"),
            Long.parseLong(String.valueOf(headers.getFirst("X-Deadline-Ms"))),
            exchange.getRequestURI().toString(),
            sent));
    pause(now == Behaviour.HANGS ? LONGEST_MILLIS : workMillis);
    if (now == Behaviour.LOSES_ANSWER) {
      exchange.close();
      return;
    }
    if (now != Behaviour.UNSIGNED) {
      answer.set("X-Response-Signature", "signed-by-" + id);
    }
    if (now == Behaviour.CROSSED) {
      answer.set("X-Request-Id", "of-another-request");
    }
    finish(
        exchange,
        switch (now) {
          case FAILS_WITH_500 -> 500;
          case FAILS_WITH_503 -> 503;
          default -> 200;
        });
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void finish(HttpExchange exchange, int status) throws IOException {
    String requestId = String.valueOf(exchange.getRequestHeaders().getFirst("X-Request-Id"));
    byte[] bytes = body.apply(requestId).getBytes(StandardCharsets.UTF_8);
    int missing = behaviour == Behaviour.CUTS_ANSWER ? MISSING_BYTES : 0;
    exchange.sendResponseHeaders(status, bytes.length + missing);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
