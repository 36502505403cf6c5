package org.kumquatvane.verification.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A caller that sends one request after another to VMs, over kept and new connections, and records
 * what it gets for each.
 */
final class RecordingCaller implements Runnable {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 \\d{3}( .*)?");
  private static final List<String> METHODS = List.of("GET", "POST", "PUT");
  private static final int MAXIMUM_BODY_BYTES = 7_200;
  private static final int MINIMUM_DEADLINE_MILLIS = 25;
  private static final int LONG_DEADLINE_MILLIS = 1_500;
  private static final int READ_TIMEOUT_MILLIS = 8_000;
  private static final int MAXIMUM_PAUSE_MILLIS = 12;
  private static final int PAUSE_AFTER_REFUSAL_MILLIS = 60;

  private final List<Integer> ports;
  private final String idPrefix;
  private final Queue<Outcome> outcomes;
  private final long endNanos;
  private final Random random;
  private @Nullable Socket socket;
  private InputStream input = InputStream.nullInputStream();

  /**
   * What a caller got for one request.
   *
   * @param id the request's id
   * @param port caller port of the VM
   * @param isSafe whether the request's route is safe
   * @param isKept whether the connection had carried a request before
   * @param status the status, or 0 without a response
   * @param echoedId value of X-Request-Id
   * @param signature value of X-Response-Signature, or empty
   * @param body the body
   * @param isComplete whether the response ended as declared
   * @param fault bytes that belong to no response, or empty
   */
  record Outcome(
      String id,
      int port,
      boolean isSafe,
      boolean isKept,
      int status,
      String echoedId,
      String signature,
      BodyDigest body,
      boolean isComplete,
      String fault) {}

  RecordingCaller(
      List<Integer> ports, String idPrefix, Queue<Outcome> outcomes, long endNanos, long seed) {
    this.ports = ports;
    this.idPrefix = idPrefix;
    this.outcomes = outcomes;
    this.endNanos = endNanos;
    random = new Random(seed);
  }

  @Override
  public void run() {
    try {
      for (int i = 0; System.nanoTime() < endNanos; i++) {
        Outcome outcome = sendRequest(idPrefix + i);
        outcomes.add(outcome);
        Thread.sleep(
            outcome.status() == 503
                ? PAUSE_AFTER_REFUSAL_MILLIS
                : random.nextInt(MAXIMUM_PAUSE_MILLIS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      disconnect();
    }
  }

  private Outcome sendRequest(String id) throws InterruptedException {
    boolean isSafe = random.nextBoolean();
    if (random.nextInt(100) < 25) {
      disconnect();
    }
    boolean isKept = socket != null;
    int port = 0;
    try {
      Socket connected = connect();
      port = connected.getPort();
      if (input.available() > 0) {
        disconnect();
        return faulty(id, port, isSafe, "bytes before the request was sent");
      }
      write(connected, id, isSafe);
      if (random.nextInt(100) < 4) {
        Thread.sleep(random.nextInt(20));
        disconnect();
        return withoutResponse(id, port, isSafe, isKept);
      }
      return readResponse(id, port, isSafe, isKept);
    } catch (IOException closedByVm) {
      disconnect();
      return withoutResponse(id, port, isSafe, isKept);
    }
  }

  private Socket connect() throws IOException {
    Socket open = socket;
    if (open == null) {
      open = new Socket(InetAddress.getLoopbackAddress(), ports.get(random.nextInt(ports.size())));
      open.setTcpNoDelay(true);
      open.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket = open;
      input = new BufferedInputStream(open.getInputStream());
    }
    return open;
  }

  private void disconnect() {
    Socket open = socket;
    socket = null;
    if (open != null) {
      try {
        open.close();
      } catch (IOException ignored) {
        // The VM reset the connection.
      }
    }
  }

  private void write(Socket connected, String id, boolean isSafe) throws IOException {
    String method = METHODS.get(random.nextInt(METHODS.size()));
    int length = method.equals("GET") ? 0 : (int) Math.pow(random.nextDouble() * 85, 2);
    byte[] body = "b".repeat(Math.min(length, MAXIMUM_BODY_BYTES)).getBytes(StandardCharsets.UTF_8);
    boolean isChunked = body.length > 0 && random.nextInt(100) < 30;
    int deadline =
        random.nextInt(100) < 15
            ? MINIMUM_DEADLINE_MILLIS + random.nextInt(60)
            : LONG_DEADLINE_MILLIS;
    String head =
        method
            + (isSafe ? " /reads/" : " /writes/")
            + id
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadline
            + "\r\nAuthorization: Token "
            + PlatformFleet.KEY
            + (isChunked ? "\r\nTransfer-Encoding: chunked" : "")
            + (!isChunked && body.length > 0 ? "\r\nContent-Length: " + body.length : "")
            + "\r\n\r\n";
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(head.getBytes(StandardCharsets.UTF_8));
    if (isChunked) {
      request.writeBytes(
          (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
      request.writeBytes(body);
      request.writeBytes("\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    } else {
      request.writeBytes(body);
    }
    connected.getOutputStream().write(request.toByteArray());
  }

  private Outcome readResponse(String id, int port, boolean isSafe, boolean isKept)
      throws IOException {
    String statusLine = readLine();
    if (!STATUS_LINE.matcher(statusLine).matches()) {
      disconnect();
      return faulty(id, port, isSafe, "status line: " + statusLine);
    }
    Map<String, String> head = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      head.put(
          line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean isComplete = true;
    try {
      readBody(head, body);
    } catch (IOException | NumberFormatException brokenOff) {
      isComplete = false;
    }
    if (!isComplete || "close".equalsIgnoreCase(head.getOrDefault("connection", ""))) {
      disconnect();
    }
    return new Outcome(
        id,
        port,
        isSafe,
        isKept,
        Integer.parseInt(statusLine.substring(9, 12)),
        head.getOrDefault("x-request-id", ""),
        head.getOrDefault("x-response-signature", ""),
        BodyDigest.of(body.toByteArray()),
        isComplete,
        "");
  }

  private void readBody(Map<String, String> head, ByteArrayOutputStream body) throws IOException {
    if (head.containsKey("transfer-encoding")) {
      int length;
      do {
        length = Integer.parseInt(readLine(), 16);
        readBytes(length, body);
        if (!readLine().isEmpty()) {
          throw new IOException("a chunk has no end");
        }
      } while (length > 0);
    } else if (head.containsKey("content-length")) {
      readBytes(Integer.parseInt(head.get("content-length")), body);
    } else {
      input.transferTo(body);
      disconnect();
    }
  }

  private void readBytes(int length, ByteArrayOutputStream body) throws IOException {
    byte[] bytes = input.readNBytes(length);
    body.writeBytes(bytes);
    if (bytes.length < length) {
      throw new EOFException("the body is cut off");
    }
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the VM closed the connection");
      }
      line.append((char) next);
    }
    return line.toString().stripTrailing();
  }

  private static Outcome withoutResponse(String id, int port, boolean isSafe, boolean isKept) {
    return new Outcome(id, port, isSafe, isKept, 0, "", "", BodyDigest.of(new byte[0]), false, "");
  }

  private static Outcome faulty(String id, int port, boolean isSafe, String fault) {
    return new Outcome(id, port, isSafe, true, 0, "", "", BodyDigest.of(new byte[0]), false, fault);
  }
}
