package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.verification.platform.RawInstance.Output;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a request that must run once and counts as not run although an instance has run
 * it: it would run again, or its caller would be told that it has not run.
 */
class NotRunGroundsProcessTest {
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
  private static final int REQUESTS = 320;

  /** Longest time between an answer and the end of its connection, when the next request comes. */
  private static final int MAXIMUM_PAUSE_NANOS = 2_000_000;

  private static final String ID = "X-Request-Id: %1$s\r\n";
  private static final String NOT_RUN = "X-Not-Executed: 1\r\n" + ID;
  private static final String REST = "Content-Length: 4\r\n\r\ndone";
  private static final String SIGNED = "X-Response-Signature: s\r\n" + REST;
  private static final String SUCCESS = "HTTP/1.1 200 OK\r\n" + ID + SIGNED;
  private static final String REFUSAL = "HTTP/1.1 503 Busy\r\n" + NOT_RUN + REST;

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private PlatformFleet fleet;
  private List<RawInstance> instances;
  private Answer first = Answer.CLOSE_WHEN_IDLE;

  /** How an instance ends a connection, if it does. */
  private enum End {
    KEEP,
    CLOSE,
    RESET,
    HALF_CLOSE
  }

  /** An answer to the first attempt of a request; the other attempts succeed. */
  private enum Answer {
    CLOSE_WHEN_IDLE(SUCCESS, End.CLOSE),
    RESET_WHEN_IDLE(SUCCESS, End.RESET),
    HALF_CLOSE_WHEN_IDLE(SUCCESS, End.HALF_CLOSE),
    RESET_WITHOUT_ANSWER("", End.RESET),
    CLOSE_IN_REFUSAL("HTTP/1.1 503 Busy\r\n" + NOT_RUN, End.CLOSE),
    REFUSAL_IN_BODY("HTTP/1.1 200 OK\r\n" + ID + "\r\nx" + REFUSAL, End.CLOSE),
    CUT_STATUS("HTTP/1.1 421 Mis" + SUCCESS, End.KEEP),
    CUT_REFUSAL("HTTP/1.1 503 Busy\r\nX-Not-Executed: " + SUCCESS, End.KEEP),
    INTERIM_REFUSAL("HTTP/1.1 103 Early\r\n" + NOT_RUN + "\r\n" + SUCCESS, End.KEEP),
    SIGNED_SUCCESS("HTTP/1.1 200 OK\r\n" + NOT_RUN + SIGNED, End.KEEP),
    REFUSED_AFTER_INTERIM("HTTP/1.1 103 Early\r\n\r\n" + REFUSAL, End.KEEP),
    REFUSED_TWICE_AT_ONCE(REFUSAL + REFUSAL, End.KEEP);

    private final String bytes;
    private final End end;

    Answer(String bytes, End end) {
      this.bytes = bytes;
      this.end = end;
    }

    private boolean isRun() {
      return !name().startsWith("REFUSED");
    }
  }

  @BeforeEach
  void start() throws IOException {
    fleet = new PlatformFleet(1, 1);
    instances = Stream.generate(() -> new RawInstance(this::respond)).limit(3).toList();
    for (RawInstance instance : instances) {
      String name = "raw-" + instances.indexOf(instance);
      fleet.store().put("servers/" + name, instance.storeEntry("faulty", 4));
      Conditions.await(
          "the instance is known",
          () -> fleet.getFromOperator(fleet.vm(0), "/v1/instances").body().contains(name));
    }
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (RawInstance instance : instances) {
      instance.close();
    }
  }

  private void respond(String id, Output output) throws IOException {
    Answer answer = first;
    boolean isFirst = arrived.add(id);
    if (!isFirst || answer.isRun()) {
      runs.merge(id, 1, Integer::sum);
    }
    RawInstance.write(output, (isFirst ? answer.bytes : SUCCESS).formatted(id));
    if (isFirst) {
      LockSupport.parkNanos(ThreadLocalRandom.current().nextInt(MAXIMUM_PAUSE_NANOS));
      switch (answer.end) {
        case CLOSE -> output.close();
        case RESET -> output.reset();
        case HALF_CLOSE -> output.halfClose();
        default -> output.flush();
      }
    }
  }

  /** Returns what was wrong, or an empty text. */
  private String sendRequest() {
    String id = UUID.randomUUID().toString();
    int status;
    try {
      status =
          fleet.send(fleet.vm(0), "POST", "/faulty-bookings/1", PlatformFleet.KEY, id).statusCode();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    int count = runs.getOrDefault(id, 0);
    return count > 1 || (count == 1 && NOT_RUN_STATUSES.contains(status))
        ? id + " ran " + count + " times, status " + status
        : "";
  }

  @ParameterizedTest
  @EnumSource(Answer.class)
  void requestThatRanDoesNotCountAsNotRun(Answer answer) {
    first = answer;
    List<String> faults =
        IntStream.range(0, REQUESTS)
            .parallel()
            .mapToObj(i -> sendRequest())
            .filter(fault -> !fault.isEmpty())
            .toList();
    assertEquals(List.of(), faults, fleet.vm(0)::log);
  }
}
