package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.platform.trial.InstanceStandIn;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a request that stops in the middle and runs at an instance as if it were complete,
 * for example with a shorter body.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TruncatedRequestProcessTest {
  private static final int INSTANCES = 8;
  private static final int PARALLEL_CASES = 32;
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** Longer than an attempt that is still on its way to an instance takes. */
  private static final long SETTLE_MILLIS = 1_000;

  /** How many of the twelve combinations of ending and connection are run at each length. */
  private static final int COMBINATIONS = Integer.getInteger("kumquatvane.cutCombinations", 1);

  private final ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_CASES);
  private PlatformFleet fleet;

  /** Request of a caller. */
  enum Form {
    LOOK_UP("GET /lookups/", "", ""),
    LOOK_UP_WITH_BODY("GET /lookups/", "Content-Length: 12\r\n", "look this up"),
    BOOKING("POST /bookings/", "Content-Length: 12\r\n", "book this up"),
    BOOKING_IN_CHUNKS(
        "POST /bookings/",
        "Transfer-Encoding: chunked\r\n",
        "5\r\nbook \r\n7\r\nthis up\r\n0\r\n\r\n"),
    BOOKING_WITH_TRAILERS(
        "POST /bookings/",
        "Transfer-Encoding: chunked\r\n",
        "c\r\nbook this up\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n"),
    LONG_BOOKING("POST /bookings/", "Content-Length: 80000\r\n", "b".repeat(80_000)),
    LONG_BOOKING_IN_CHUNKS(
        "POST /bookings/",
        "Transfer-Encoding: chunked\r\n",
        ("1000\r\n" + "b".repeat(4_096) + "\r\n").repeat(20) + "0\r\n\r\n");

    private final String start;
    private final String framing;
    private final String encodedBody;

    Form(String start, String framing, String encodedBody) {
      this.start = start;
      this.framing = framing;
      this.encodedBody = encodedBody;
    }

    private String head(String requestId) {
      return start
          + requestId
          + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: "
          + requestId
          + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token "
          + PlatformFleet.KEY
          + "\r\n"
          + framing
          + "\r\n";
    }

    private String bytes(String requestId) {
      return head(requestId) + encodedBody;
    }

    private int bodyLength() {
      return switch (this) {
        case LOOK_UP -> 0;
        case LOOK_UP_WITH_BODY, BOOKING, BOOKING_IN_CHUNKS, BOOKING_WITH_TRAILERS -> 12;
        case LONG_BOOKING -> 80_000;
        case LONG_BOOKING_IN_CHUNKS -> 20 * 4_096;
      };
    }
  }

  /** What a caller does after the last byte. */
  enum Ending {
    CLOSES_AT_ONCE(false, false, 0),
    CLOSES_LATER(false, false, 30),
    RESETS_AT_ONCE(true, false, 0),
    RESETS_LATER(true, false, 30),
    ENDS_OUTPUT_AT_ONCE(false, true, 0),
    ENDS_OUTPUT_LATER(false, true, 30);

    private final boolean resets;
    private final boolean reads;
    private final long delayMillis;

    Ending(boolean resets, boolean reads, long delayMillis) {
      this.resets = resets;
      this.reads = reads;
      this.delayMillis = delayMillis;
    }
  }

  /** A request of which the caller sends only the beginning. */
  private record Cut(Form form, int length, Ending ending, boolean onKeptConnection) {
    boolean isComplete(String requestId) {
      return length == form.bytes(requestId).length();
    }
  }

  @BeforeAll
  void startFleet() throws IOException {
    fleet = new PlatformFleet(1, INSTANCES);
  }

  @AfterAll
  void stopFleet() {
    threads.shutdownNow();
    fleet.close();
  }

  /** Requests that are cut after any byte of the head, or of a short body. */
  @ParameterizedTest
  @EnumSource(Form.class)
  void cutRequestDoesNotRun(Form form) throws Exception {
    String sample = form.bytes(UUID.randomUUID().toString());
    int head = sample.length() - form.encodedBody.length();
    Set<Integer> lengths = new TreeSet<>();
    IntStream.rangeClosed(0, Math.min(sample.length(), head + 64)).forEach(lengths::add);
    IntStream.rangeClosed(0, 32).map(i -> sample.length() - i).forEach(lengths::add);
    lengths.add((head + sample.length()) / 2);
    Map<String, Cut> cuts = new HashMap<>();
    Conditions.await(
        "a complete request runs, so that a cut one could",
        () -> {
          String requestId = UUID.randomUUID().toString();
          cuts.put(requestId, new Cut(form, sample.length(), Ending.CLOSES_LATER, false));
          sendAndAwaitResponse(form, requestId);
          return !findRuns(cuts.keySet()).isEmpty();
        },
        fleet.vm(0)::log);
    List<Future<List<String>>> results = new ArrayList<>();
    int combination = 0;
    for (int length : lengths) {
      for (int i = 0; i < COMBINATIONS; i++) {
        combination = (combination + 5) % (2 * Ending.values().length);
        Ending ending = Ending.values()[combination / 2];
        Cut cut = new Cut(form, length, ending, combination % 2 == 0);
        String requestId = UUID.randomUUID().toString();
        cuts.put(requestId, cut);
        Callable<List<String>> check = () -> send(cut, requestId);
        results.add(threads.submit(check));
      }
    }
    List<String> faults = new ArrayList<>();
    for (Future<List<String>> result : results) {
      faults.addAll(result.get());
    }
    Thread.sleep(SETTLE_MILLIS);
    List<InstanceStandIn.StartedRequest> runs = findRuns(cuts.keySet());
    for (InstanceStandIn.StartedRequest run : runs) {
      findFault(run, Objects.requireNonNull(cuts.get(run.requestId()))).ifPresent(faults::add);
    }
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
    assertEquals(List.of(), faults, () -> faults.size() + " faults");
  }

  private List<InstanceStandIn.StartedRequest> findRuns(Set<String> requestIds) {
    return IntStream.range(0, INSTANCES)
        .mapToObj(i -> fleet.instance(i).startedRequests())
        .flatMap(List::stream)
        .filter(run -> requestIds.contains(run.requestId()))
        .toList();
  }

  private static Optional<String> findFault(InstanceStandIn.StartedRequest run, Cut cut) {
    boolean isWhole =
        cut.isComplete(run.requestId())
            && run.body().length() == cut.form.bodyLength()
            && run.target().endsWith("/" + run.requestId());
    return isWhole
        ? Optional.empty()
        : Optional.of(cut + " ran with " + run.body().length() + " bytes at " + run.target());
  }

  private List<String> send(Cut cut, String requestId) throws IOException, InterruptedException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.vm(0).callerPort())) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      if (cut.onKeptConnection) {
        write(socket, Form.LOOK_UP.head(UUID.randomUUID().toString()));
        readWholeResponse(socket.getInputStream());
      }
      write(socket, cut.form.bytes(requestId).substring(0, cut.length));
      end(socket, cut.ending);
      if (!cut.ending.reads) {
        return List.of();
      }
      String response = readToEnd(socket);
      boolean isSuccess = response.startsWith("HTTP/1.1 2");
      return isSuccess && !cut.isComplete(requestId)
          ? List.of(cut + " was answered with a success")
          : List.of();
    }
  }

  private void sendAndAwaitResponse(Form form, String requestId) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.vm(0).callerPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      write(socket, form.bytes(requestId));
      readWholeResponse(socket.getInputStream());
    }
  }

  private static void end(Socket socket, Ending ending) throws IOException, InterruptedException {
    Thread.sleep(ending.delayMillis);
    if (ending.reads) {
      socket.shutdownOutput();
    } else {
      socket.setSoLinger(ending.resets, 0);
      socket.close();
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a response whose body ends with "done" or with the line end of a refusal. */
  private static void readWholeResponse(InputStream input) throws IOException {
    StringBuilder received = new StringBuilder();
    while (!isWhole(received)) {
      int next = input.read();
      if (next < 0) {
        return;
      }
      received.append((char) next);
    }
  }

  private static boolean isWhole(StringBuilder received) {
    int headEnd = received.indexOf("\r\n\r\n");
    return headEnd > 0
        && (received.indexOf("done", headEnd) > 0 || received.indexOf("}\n", headEnd) > 0);
  }

  private static String readToEnd(Socket socket) {
    StringBuilder received = new StringBuilder();
    try {
      for (int next = socket.getInputStream().read(); next >= 0; ) {
        received.append((char) next);
        next = socket.getInputStream().read();
      }
    } catch (SocketTimeoutException e) {
      received.append(" and the connection stays open");
    } catch (IOException reset) {
      // The VM ends the connection; what was received before is judged.
    }
    return received.toString();
  }
}
