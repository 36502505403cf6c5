package org.kumquatvane.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/** Guards against wrong verdicts for repeated, evicted, reused and malformed keys. */
final class LocalOperationLedgerTest {
  private static final int MAXIMUM_RECORDS = 3;

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
  private final List<String> verdicts = new ArrayList<>();
  private final LocalOperationLedger ledger =
      new LocalOperationLedger(
          clock,
          scheduler,
          new VmId("e0"),
          new FailingInvariantMonitor(),
          new OperationSettings(Duration.ofMinutes(1), MAXIMUM_RECORDS, Duration.ofSeconds(2)));

  @BeforeEach
  void advancePastHorizon() {
    scheduler.advance(Duration.ofSeconds(10));
  }

  private Operation operation(String digest) {
    scheduler.advance(Duration.ofMillis(1));
    return new Operation(
        new WorkspaceId("w"), OperationFleet.keyAt(clock.epochMillis(), random), digest);
  }

  private void begin(Operation operation) {
    ledger.begin(
        operation,
        Deadline.after(clock, Duration.ofSeconds(1)),
        verdict -> verdicts.add(verdict.getClass().getSimpleName()));
  }

  @ParameterizedTest
  @CsvSource({"finished,Replay", "long,AnswerNotKept", "not-run,Proceed", "unknown,Unknown"})
  void waitingRepeatReceivesResultOfFirstRun(String end, String expected) {
    Operation operation = operation("a");
    begin(operation);
    begin(operation);
    ledger.finish(operation, result(end));
    assertEquals(List.of("Proceed", expected), verdicts);
  }

  private static OperationResult result(String end) {
    return switch (end) {
      case "finished" ->
          new OperationResult.Finished(new RecordedResponse(201, List.of(), new byte[0]));
      case "long" -> new OperationResult.FinishedWithoutResponse();
      case "not-run" -> new OperationResult.NotRun();
      default -> new OperationResult.Unknown();
    };
  }

  @Test
  void repeatOfUnfinishedRunIsUnknownAtDeadline() {
    Operation operation = operation("a");
    begin(operation);
    begin(operation);
    scheduler.advance(Duration.ofSeconds(2));
    assertEquals(List.of("Proceed", "Unknown"), verdicts);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void evictedKeyIsUnknown(boolean byCount) {
    Operation operation = operation("a");
    begin(operation);
    ledger.finish(operation, result("finished"));
    if (byCount) {
      for (int i = 0; i <= MAXIMUM_RECORDS; i++) {
        begin(operation("a"));
      }
    } else {
      scheduler.advance(Duration.ofMinutes(2));
    }
    verdicts.clear();
    begin(operation);
    assertEquals(List.of("Unknown"), verdicts);
  }

  @Test
  void reusedKeyOfDifferentRequestIsRejected() {
    Operation operation = operation("a");
    begin(operation);
    begin(new Operation(operation.workspace(), operation.idempotencyKey(), "b"));
    assertEquals(List.of("Proceed", "KeyReused"), verdicts);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "x", "123e4567-e89b-12d3-a456-426614174000", "1-2-7000-8000-000000000000"})
  void malformedKeyIsRejected(String key) {
    begin(new Operation(new WorkspaceId("w"), key, "a"));
    assertEquals(List.of("KeyMalformed"), verdicts);
  }

  @ParameterizedTest
  @CsvSource({"60000,KeyMalformed", "-11000,Unknown", "-70000,Unknown"})
  void keyTimestampDeterminesVerdict(long offsetMillis, String expected) {
    String key = OperationFleet.keyAt(clock.epochMillis() + offsetMillis, random);
    begin(new Operation(new WorkspaceId("w"), key, "a"));
    assertEquals(List.of(expected), verdicts);
  }
}
