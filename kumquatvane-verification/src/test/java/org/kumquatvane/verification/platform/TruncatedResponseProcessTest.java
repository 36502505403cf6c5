package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.verification.platform.CutResponse.Answer;
import org.kumquatvane.verification.platform.CutResponse.Ending;
import org.kumquatvane.verification.platform.CutResponse.Framing;

/**
 * Guards against a response of an instance that ends early and reaches the caller as a complete
 * one, as a failure with the instance's signature, or as a promise that the request has not run.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TruncatedResponseProcessTest {
  private static final int INSTANCES = 64;
  private static final int SLOTS_PER_INSTANCE = 32;
  private static final int PARALLEL_CASES = 64;
  private static final int MAXIMUM_TRIES = 40;
  private static final long RETRY_MILLIS = 100;
  private static final int SHORT_FILL = 20;

  /** Length up to which a VM reads a response before it forwards it. */
  private static final int BUFFERED_BYTES = 128 << 10;

  private static final int STREAMED_FILL = 200_000;

  /**
   * How many of the 24 combinations of method, ending and connection are run for each answer and
   * length. More are for longer hunts: 4 with a step of 3 take some 6 minutes on a busy machine.
   */
  private static final int COMBINATIONS = Integer.getInteger("kumquatvane.cutCombinations", 1);

  /** Distance of the lengths at which responses other than 200 are cut. */
  private static final int LENGTH_STEP = Integer.getInteger("kumquatvane.cutStep", 7);

  private static final List<String> METHODS = List.of("GET", "POST", "HEAD");

  private final ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_CASES);
  private final List<RawInstance> instances = new ArrayList<>();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final AtomicInteger wholeResponses = new AtomicInteger();
  private PlatformFleet fleet;
  private RawCaller caller;

  /** One request and what the instances have seen of it. */
  private static final class Run {
    private final CutResponse cut;
    private final String requestId = UUID.randomUUID().toString();
    private final AtomicInteger arrivals = new AtomicInteger();
    private volatile boolean usedExpectedConnection;

    private Run(CutResponse cut) {
      this.cut = cut;
    }

    private boolean isDeliveredWhole(RawCaller.Response response) {
      return cut.isComplete()
          && response.isComplete()
          && response.status() == cut.answer().status()
          && response.body().equals(cut.completeBody(requestId));
    }

    private void respond(RawInstance.Output output) throws IOException, InterruptedException {
      arrivals.incrementAndGet();
      if (output.requests() > 1 == cut.onKeptConnection()) {
        usedExpectedConnection = true;
      }
      RawInstance.write(output, cut.sentBytes(requestId));
      Thread.sleep(cut.ending().delayMillis);
      if (cut.ending().isReset) {
        output.reset();
      } else {
        output.close();
      }
    }
  }

  @BeforeAll
  void startFleet() throws IOException {
    fleet = new PlatformFleet(1, 1);
    caller = new RawCaller(fleet.vm(0).callerPort());
    for (int i = 0; i < INSTANCES; i++) {
      RawInstance instance = new RawInstance(this::respond);
      instances.add(instance);
      fleet.store().put("servers/raw-" + i, instance.storeEntry("faulty", SLOTS_PER_INSTANCE));
    }
  }

  @AfterAll
  void stopFleet() throws IOException {
    threads.shutdownNow();
    for (RawInstance instance : instances) {
      instance.close();
    }
    fleet.close();
  }

  /** Cuts the response to a known request; other requests get a complete one. */
  private void respond(String requestId, RawInstance.Output output)
      throws IOException, InterruptedException {
    Run run = runs.get(requestId);
    if (run == null) {
      RawInstance.write(output, RawInstance.head(requestId, "Content-Length: 0\r\n"));
    } else {
      run.respond(output);
    }
  }

  private static List<Answer> answers(Framing framing, int fill) {
    List<Answer> answers = new ArrayList<>();
    for (int status : new int[] {200, 204, 206, 304, 404, 500, 503}) {
      answers.add(new Answer(status, false, framing, fill));
    }
    answers.add(new Answer(503, true, framing, fill));
    return answers;
  }

  /** Short responses that are cut after any of their bytes. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void cutShortResponseIsNotTakenForComplete(Framing framing) throws Exception {
    List<CutResponse> cuts = new ArrayList<>();
    List<Answer> answers = answers(framing, SHORT_FILL);
    for (int i = 0; i < answers.size(); i++) {
      int step = i == 0 ? 1 : LENGTH_STEP;
      int end = answers.get(i).length("GET");
      int offset = i % step;
      Set<Integer> lengths = new TreeSet<>(List.of(answers.get(i).headLength(), end));
      IntStream.rangeClosed(0, end).filter(length -> length % step == offset).forEach(lengths::add);
      cuts.addAll(createCuts(answers.get(i), List.copyOf(lengths)));
    }
    checkAll(cuts);
  }

  /** Responses that are too long to be read before they are forwarded. */
  @ParameterizedTest
  @EnumSource(value = Framing.class, mode = EnumSource.Mode.EXCLUDE, names = "EMPTY")
  void cutLongResponseIsVisibleToCaller(Framing framing) throws Exception {
    List<CutResponse> cuts = new ArrayList<>();
    for (int status : new int[] {200, 404}) {
      Answer answer = new Answer(status, false, framing, STREAMED_FILL);
      int head = answer.headLength();
      int end = answer.length("GET");
      int middle = (head + end) / 2;
      int nextLine = answer.bytes("GET", UUID.randomUUID().toString()).indexOf("\r\n", middle);
      int border = nextLine < 0 ? middle : nextLine - 1;
      Set<Integer> lengths = new TreeSet<>(List.of(head + BUFFERED_BYTES));
      // The first chunk-size line, the border of two chunks, and the last chunk with the trailers.
      IntStream.rangeClosed(head - 1, head + 8).forEach(lengths::add);
      IntStream.rangeClosed(border, border + 9).forEach(lengths::add);
      IntStream.rangeClosed(end - 32, end).forEach(lengths::add);
      cuts.addAll(createCuts(answer, List.copyOf(lengths)));
    }
    checkAll(cuts);
  }

  private void checkAll(List<CutResponse> cuts) throws Exception {
    wholeResponses.set(0);
    List<Future<List<String>>> results = new ArrayList<>();
    for (CutResponse cut : cuts) {
      Callable<List<String>> check = () -> check(cut);
      results.add(threads.submit(check));
    }
    List<String> faults = new ArrayList<>();
    for (Future<List<String>> result : results) {
      try {
        faults.addAll(result.get());
      } catch (ExecutionException e) {
        faults.add(String.valueOf(e.getCause()));
      }
    }
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
    assertEquals(List.of(), faults, () -> faults.size() + " faults");
    assertTrue(wholeResponses.get() > 0, "no complete response was delivered either");
  }

  /** Spreads all combinations over the lengths, so that each meets lengths in all parts. */
  private static List<CutResponse> createCuts(Answer answer, List<Integer> lengths) {
    List<CutResponse> all = new ArrayList<>();
    for (int i = 0; i < lengths.size(); i++) {
      List<CutResponse> atLength = new ArrayList<>();
      for (String method : METHODS) {
        if (lengths.get(i) <= answer.length(method)) {
          for (Ending ending : Ending.values()) {
            atLength.add(new CutResponse(answer, method, lengths.get(i), ending, false));
            atLength.add(new CutResponse(answer, method, lengths.get(i), ending, true));
          }
        }
      }
      for (int k = 0; k < Math.min(COMBINATIONS, atLength.size()); k++) {
        // The step has no factor in common with 8, 16 or 24 combinations.
        all.add(atLength.get((i * 5 + k) % atLength.size()));
      }
    }
    return all;
  }

  /** Repeats a case until it has met the connection that it is about; refusals count as well. */
  private List<String> check(CutResponse cut) throws IOException, InterruptedException {
    for (int i = 0; i < MAXIMUM_TRIES; i++) {
      Run run = new Run(cut);
      runs.put(run.requestId, run);
      if (cut.onKeptConnection()) {
        caller.send("GET", "/faulty/keep", UUID.randomUUID().toString());
      }
      String target =
          (cut.method().equals("POST") ? "/faulty-bookings/" : "/faulty/") + run.requestId;
      RawCaller.Response response = caller.send(cut.method(), target, run.requestId);
      Optional<String> fault = findFault(run, response);
      if (run.isDeliveredWhole(response)) {
        wholeResponses.incrementAndGet();
      }
      if (fault.isPresent()) {
        return List.of(fault.get() + ": " + cut + " got " + abbreviate(response));
      }
      if (run.usedExpectedConnection) {
        return List.of();
      }
      Thread.sleep(RETRY_MILLIS);
    }
    return List.of("the case did not meet an instance: " + cut);
  }

  private static Optional<String> findFault(Run run, RawCaller.Response response) {
    CutResponse cut = run.cut;
    Answer answer = cut.answer();
    if (response.end() == RawCaller.End.TIMED_OUT) {
      return Optional.of("the response does not end");
    }
    boolean isFromInstance =
        cut.hasWholeHead() && response.status() == answer.status() && run.arrivals.get() > 0;
    boolean isSigned = response.fields().containsKey("x-response-signature");
    if (response.isComplete() && (response.isSuccess() || isSigned)) {
      boolean isWhole = isFromInstance && cut.isComplete();
      if (!isWhole || !response.body().equals(cut.completeBody(run.requestId))) {
        return Optional.of("a truncated response looks complete");
      }
    }
    if (isSigned && !isFromInstance) {
      return Optional.of("the signature belongs to another status");
    }
    boolean saysNotRun = List.of(408, 421, 429, 503).contains(response.status());
    if (saysNotRun && run.arrivals.get() > 0 && !(cut.hasWholeHead() && answer.isNotRun())) {
      return Optional.of("the caller is told that the request has not run");
    }
    boolean isOwn = List.of(0, 502, 504).contains(response.status()) || saysNotRun;
    if (!isOwn && !isFromInstance) {
      return Optional.of("the status is not the instance's");
    }
    return Optional.empty();
  }

  private static String abbreviate(RawCaller.Response response) {
    return "%d %s, %d bytes, %s"
        .formatted(response.status(), response.end(), response.body().length(), response.fields());
  }
}
