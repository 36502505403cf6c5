package org.kumquatvane.verification.platform;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * An instance that writes a part of its responses a second time, whole: at once, late, or around
 * the response to the next request of the connection. The second response is a copy, or has the
 * same request id and another status. A refusal without one is copied before the response to the
 * repeat. The instance can also change its id, and leave its address for a time.
 */
final class RepeatingInstance implements AutoCloseable {
  private static final int PERCENT = 100;
  private static final int MAXIMUM_WORK_MILLIS = 20;
  private static final int LONG_WORK_MILLIS = 400;
  private static final int MAXIMUM_DELAY_MILLIS = 30;
  private static final int MINIMUM_BODY_BYTES = 400;
  private static final int MAXIMUM_BODY_BYTES = 30_000;

  /** Above the 128 KB up to which a VM collects a response before it passes it on. */
  private static final int MINIMUM_LARGE_BODY_BYTES = 132_000;

  private static final int MAXIMUM_LARGE_BODY_BYTES = 200_000;

  private static final List<Timing> TIMINGS = List.of(Timing.values());

  private final String name;
  private final Faults faults;
  private final ResponseRecords records;
  private final long seed;
  private final Semaphore slots;
  private final int announcedSlots;
  private volatile ServerSocket server;
  private volatile Future<?> accepting;
  private volatile String listedName;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger connectionCount = new AtomicInteger();

  /**
   * Shares of the faults.
   *
   * @param secondPercent responses that are written a second time
   * @param secondOfRefusalPercent refusals that are followed by a second response
   * @param refusedPercent requests that are refused although a slot is free
   * @param failedPercent requests that run and get 500 or 504
   * @param cutAtOncePercent second responses of which only a part of the head is written, at once
   * @param cutLatePercent the same, written when the next request arrives
   */
  record Faults(
      int secondPercent,
      int secondOfRefusalPercent,
      int refusedPercent,
      int failedPercent,
      int cutAtOncePercent,
      int cutLatePercent) {}

  /** When a second response is written. */
  private enum Timing {
    AT_ONCE,
    AFTER_DELAY,
    BEFORE_NEXT_RESPONSE,
    INSIDE_NEXT_RESPONSE,
    BEFORE_RESPONSE_TO_REPEAT
  }

  @SuppressWarnings("ArrayRecordComponent") // Responses are not compared.
  private record SecondResponse(
      PlannedResponse response, Timing timing, boolean isCopy, byte[] bytes) {
    private boolean isCut() {
      return bytes.length < response.head().length;
    }

    @Override
    public String toString() {
      return response.requestId()
          + " second "
          + (isCopy ? "copy " : "altered ")
          + (isCut() ? "cut at " + bytes.length + " " : "")
          + timing
          + " "
          + response;
    }
  }

  RepeatingInstance(
      String name, int slots, int announcedSlots, Faults faults, ResponseRecords records, long seed)
      throws IOException {
    this.name = name;
    this.faults = faults;
    this.records = records;
    this.seed = seed;
    this.slots = new Semaphore(slots);
    this.announcedSlots = announcedSlots;
    listedName = name;
    server = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    accepting = threads.submit(this::acceptConnections);
  }

  String listedName() {
    return listedName;
  }

  /** Takes another id at the same address, refuses the earlier one from now on and returns it. */
  String rename(int number) {
    String earlier = listedName;
    listedName = name + "-" + number;
    return earlier;
  }

  /** Closes all connections and refuses new ones for a time. */
  void leaveAddress(int millis) throws Exception {
    closeSockets();
    // The port is free only when no thread waits for a connection to it.
    accepting.get();
    Thread.sleep(millis);
    server = new ServerSocket(server.getLocalPort(), 128, InetAddress.getLoopbackAddress());
    accepting = threads.submit(this::acceptConnections);
  }

  String storeEntry(String service) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"a","concurrency":%d,"state":"ready"}
        """
        .formatted(service, server.getLocalPort(), announcedSlots);
  }

  private void acceptConnections() {
    ServerSocket opened = server;
    while (!opened.isClosed()) {
      try {
        Socket socket = opened.accept();
        socket.setTcpNoDelay(true);
        threads.execute(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    int number = connectionCount.incrementAndGet();
    try (Connection connection = new Connection(socket, name + "/" + number, seed * 31 + number)) {
      connections.add(connection);
      try {
        connection.serveRequests();
      } finally {
        connections.remove(connection);
      }
    } catch (IOException | UncheckedIOException closedByVm) {
      // The VM closed the connection, or the test ended it.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    threads.shutdownNow();
    closeSockets();
  }

  private void closeSockets() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.close();
    }
  }

  /** One connection of a VM; a single thread reads it, and a timer may write to it too. */
  private final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream input;
    private final OutputStream output;
    private final String connectionName;
    private final Random random;
    private final Object writeLock = new Object();
    private int sequence;
    private @Nullable SecondResponse pending;
    private final Map<String, SecondResponse> copiesToRepeats = new HashMap<>();
    private String cutBefore = "";

    private Connection(Socket socket, String connectionName, long connectionSeed)
        throws IOException {
      this.socket = socket;
      this.connectionName = connectionName;
      input = new BufferedInputStream(socket.getInputStream());
      output = socket.getOutputStream();
      random = new Random(connectionSeed * 7_919 + name.hashCode());
    }

    private void serveRequests() throws IOException, InterruptedException {
      while (!socket.isClosed()) {
        Map<String, String> head = readHead();
        String id = head.getOrDefault("x-request-id", "");
        SecondResponse late = takePending(id);
        if (late != null && late.timing() != Timing.INSIDE_NEXT_RESPONSE) {
          writeSecond(late);
          late = null;
        }
        SecondResponse copy = copiesToRepeats.remove(id);
        if (copy != null) {
          writeSecond(copy);
        }
        readBody(head);
        handle(head, late);
      }
    }

    /** Returns the second response that this request triggers, if any. */
    private @Nullable SecondResponse takePending(String id) {
      SecondResponse late = pending;
      boolean waitsForRepeat =
          late != null
              && late.timing() == Timing.BEFORE_RESPONSE_TO_REPEAT
              && !late.response().requestId().equals(id);
      if (waitsForRepeat) {
        return null;
      }
      pending = null;
      return late;
    }

    private void handle(Map<String, String> head, @Nullable SecondResponse late)
        throws IOException, InterruptedException {
      String id = head.getOrDefault("x-request-id", "");
      sequence++;
      if (head.getOrDefault("", "").contains("/healthz")) {
        String healthy =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: "
                + listedName
                + "\r\nX-Request-Id: "
                + id
                + "\r\n\r\n";
        writeWhole(healthy.getBytes(StandardCharsets.UTF_8));
        return;
      }
      ResponseRecords.Arrival arrival = records.addArrival(id, connectionName, sequence, cutBefore);
      String expected = head.getOrDefault("x-expect-instance", listedName);
      boolean isMisdirected = !expected.equals(listedName);
      boolean hasSlot = slots.tryAcquire();
      try {
        boolean isRefused = isMisdirected || !hasSlot || isChosen(faults.refusedPercent());
        if (!isRefused) {
          arrival.markRun();
          Thread.sleep(chooseWorkMillis());
        }
        respond(arrival, isMisdirected ? 421 : isRefused ? 503 : chooseStatus(), late);
      } finally {
        if (hasSlot) {
          slots.release();
        }
      }
    }

    private void respond(ResponseRecords.Arrival arrival, int status, @Nullable SecondResponse late)
        throws IOException, InterruptedException {
      boolean isRefused = !arrival.hasRun();
      PlannedResponse first = plan(arrival, status, isRefused, chooseFraming(), "");
      records.decideResponse(arrival, first);
      boolean repeats =
          first.framing() != PlannedResponse.Framing.UNTIL_CLOSE
              && isChosen(isRefused ? faults.secondOfRefusalPercent() : faults.secondPercent());
      SecondResponse second = repeats ? planSecond(arrival, first) : null;
      if (isRefused && second == null) {
        Timing timing = Timing.BEFORE_RESPONSE_TO_REPEAT;
        copiesToRepeats.put(
            arrival.id(), new SecondResponse(first, timing, true, concatenate(first)));
      }
      if (late != null) {
        arrival.markInterrupted();
      }
      writeFirst(first, late, second);
      if (first.framing() == PlannedResponse.Framing.UNTIL_CLOSE) {
        close();
      } else if (second != null && second.timing() == Timing.AFTER_DELAY) {
        Future<?> unused =
            timer.schedule(
                () -> writeLate(second),
                random.nextInt(MAXIMUM_DELAY_MILLIS),
                TimeUnit.MILLISECONDS);
      } else if (second != null && second.timing() != Timing.AT_ONCE) {
        pending = second;
      }
    }

    private void writeFirst(
        PlannedResponse first, @Nullable SecondResponse late, @Nullable SecondResponse second)
        throws IOException, InterruptedException {
      synchronized (writeLock) {
        if (late != null) {
          writeWhole(first.head());
          writeSecond(late);
          writeWhole(first.encodedBody());
        } else if (isChosen(15)) {
          writeWhole(first.head());
          Thread.sleep(1 + random.nextInt(4));
          writeWhole(first.encodedBody());
        } else if (second != null && second.timing() == Timing.AT_ONCE && random.nextBoolean()) {
          // One write, so that the VM may decode both responses from one read.
          noteCut(second);
          records.countSecond(connectionName, second.toString());
          writeWhole(concatenate(concatenate(first), second.bytes()));
          return;
        } else {
          writeWhole(concatenate(first));
        }
        if (second != null && second.timing() == Timing.AT_ONCE) {
          writeSecond(second);
        }
      }
    }

    private void writeLate(SecondResponse second) {
      try {
        writeSecond(second);
      } catch (IOException closedByVm) {
        // The VM closed the connection after the first response.
      }
    }

    private void writeSecond(SecondResponse second) throws IOException {
      synchronized (writeLock) {
        noteCut(second);
        records.countSecond(connectionName, second.toString());
        writeWhole(second.bytes());
      }
    }

    private void noteCut(SecondResponse second) {
      if (second.isCut()) {
        cutBefore = " after a head cut " + second.timing();
      }
    }

    private void writeWhole(byte[] bytes) throws IOException {
      synchronized (writeLock) {
        output.write(bytes);
        output.flush();
      }
    }

    private SecondResponse planSecond(ResponseRecords.Arrival arrival, PlannedResponse first) {
      Timing timing = TIMINGS.get(random.nextInt(TIMINGS.size()));
      if (isChosen(faults.cutAtOncePercent())) {
        return cutOff(first, Timing.AT_ONCE);
      }
      if (isChosen(faults.cutLatePercent())) {
        return cutOff(first, Timing.BEFORE_NEXT_RESPONSE);
      }
      if (isChosen(65)) {
        return new SecondResponse(first, timing, true, concatenate(first));
      }
      boolean wasSuccess = first.status() == 200;
      int status = wasSuccess ? (random.nextBoolean() ? 500 : 503) : 200;
      PlannedResponse altered =
          plan(arrival, status, status == 503, PlannedResponse.Framing.LENGTH, "-second");
      records.addAlteredSecond(arrival, altered);
      return new SecondResponse(altered, timing, false, concatenate(altered));
    }

    /** Ends the second response within its status line or the field that precedes the id. */
    private SecondResponse cutOff(PlannedResponse first, Timing timing) {
      byte[] head = first.head();
      int written = 1 + random.nextInt(head.length / 3);
      return new SecondResponse(first, timing, true, Arrays.copyOf(head, written));
    }

    private PlannedResponse plan(
        ResponseRecords.Arrival arrival,
        int status,
        boolean isRefusal,
        PlannedResponse.Framing framing,
        String suffix) {
      byte[] body = new byte[chooseBodyBytes(isRefusal)];
      for (int i = 0; i < body.length; i++) {
        body[i] = (byte) ('a' + random.nextInt(26));
      }
      String signature = connectionName + "." + sequence + suffix;
      return new PlannedResponse(arrival.id(), status, isRefusal, signature, framing, body);
    }

    private boolean isChosen(int percent) {
      return random.nextInt(PERCENT) < percent;
    }

    private int chooseWorkMillis() {
      return isChosen(2) ? random.nextInt(LONG_WORK_MILLIS) : random.nextInt(MAXIMUM_WORK_MILLIS);
    }

    private int chooseStatus() {
      if (!isChosen(faults.failedPercent())) {
        return 200;
      }
      return isChosen(70) ? 500 : 504;
    }

    private PlannedResponse.Framing chooseFraming() {
      if (isChosen(5)) {
        return PlannedResponse.Framing.UNTIL_CLOSE;
      }
      return isChosen(30) ? PlannedResponse.Framing.CHUNKED : PlannedResponse.Framing.LENGTH;
    }

    private int chooseBodyBytes(boolean isRefusal) {
      if (isRefusal) {
        return random.nextBoolean() ? 0 : random.nextInt(MINIMUM_BODY_BYTES);
      }
      if (isChosen(2)) {
        return MINIMUM_LARGE_BODY_BYTES
            + random.nextInt(MAXIMUM_LARGE_BODY_BYTES - MINIMUM_LARGE_BODY_BYTES);
      }
      // Most bodies are short; the mean is about 5 KB.
      double share = Math.pow(random.nextDouble(), 5);
      return MINIMUM_BODY_BYTES + (int) (share * (MAXIMUM_BODY_BYTES - MINIMUM_BODY_BYTES));
    }

    private Map<String, String> readHead() throws IOException {
      Map<String, String> head = new HashMap<>();
      head.put("", readLine());
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        int colon = line.indexOf(':');
        head.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      return head;
    }

    private void readBody(Map<String, String> head) throws IOException {
      if (head.containsKey("transfer-encoding")) {
        int length;
        do {
          length = Integer.parseInt(readLine(), 16);
          input.skipNBytes(length);
          readLine();
        } while (length > 0);
      } else {
        input.skipNBytes(Long.parseLong(head.getOrDefault("content-length", "0")));
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

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static byte[] concatenate(PlannedResponse response) {
    return concatenate(response.head(), response.encodedBody());
  }

  private static byte[] concatenate(byte[] first, byte[] second) {
    byte[] both = new byte[first.length + second.length];
    System.arraycopy(first, 0, both, 0, first.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }
}
