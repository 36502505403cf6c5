package org.kumquatvane.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.Reason;

/** Guards against requests that a planned stop cuts off without an answer. */
class PlannedStopTest {
  private static final Duration STOP_TIME = Duration.ofMillis(800);
  private static final Duration ARRIVAL_TIME = Duration.ofMillis(300);

  private final EngineFixture fixture = new EngineFixture();
  private final ScriptedExchange exchange = new ScriptedExchange();

  private Deadline stop() {
    Deadline end = Deadline.after(fixture.clock, STOP_TIME);
    fixture.engine.stop(Deadline.after(fixture.clock, ARRIVAL_TIME), end);
    return end;
  }

  private void occupyAllSlots() {
    fixture.lookUp(new ScriptedExchange());
    fixture.lookUp(new ScriptedExchange());
  }

  private void lookUp() {
    fixture.lookUp(exchange);
  }

  /** A request that waits must be told that it did not run, whether it came before the stop. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void waitingRequestIsRefusedAsNotRun(boolean arrivesBeforeStop) {
    occupyAllSlots();
    if (arrivesBeforeStop) {
      lookUp();
      stop();
    } else {
      stop();
      lookUp();
    }
    fixture.scheduler.advance(STOP_TIME);
    Refusal refusal = exchange.refusal().orElseThrow();
    assertEquals(ExecutionStatus.NOT_RUN, refusal.execution());
    assertEquals(Reason.NOT_READY, refusal.reason());
    assertEquals(0, exchange.attempts().size());
  }

  /** An attempt gets its time up to the end, and its caller an answer that promises nothing. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void runningRequestIsAnsweredAtTheEnd(boolean arrivesBeforeStop) {
    if (arrivesBeforeStop) {
      lookUp();
    }
    Deadline end = stop();
    if (!arrivesBeforeStop) {
      lookUp();
      assertEquals(end, exchange.attempts().get(0).plan().deadline());
    }
    fixture.scheduler.advance(STOP_TIME.minusMillis(1));
    assertEquals(Optional.empty(), exchange.refusal());
    fixture.scheduler.advance(Duration.ofMillis(1));
    assertTrue(exchange.attempts().get(0).isCancelled());
    assertEquals(ExecutionStatus.MAY_HAVE_RUN, exchange.refusal().orElseThrow().execution());
    assertEquals(1, exchange.attempts().size());
    assertEquals(0, fixture.engine.inFlight());
  }

  /** No attempt may start that the end of the VM would cut off. */
  @ParameterizedTest
  @CsvSource({"700, 2", "799, 1"})
  void retryStartsOnlyBeforeTheEnd(long failureMillis, int attempts) {
    lookUp();
    stop();
    fixture.scheduler.advance(Duration.ofMillis(failureMillis));
    exchange.attempts().get(0).fail(AttemptFailure.CONNECT_FAILED);
    fixture.scheduler.advance(Duration.ofMillis(100));
    assertEquals(attempts, exchange.attempts().size());
    assertTrue(exchange.refusal().isPresent());
  }

  @ParameterizedTest
  @CsvSource({"0, true", "299, true", "300, false", "2000, false"})
  void lateArrivalsAreRefused(long arrivalMillis, boolean isAccepted) {
    stop();
    fixture.scheduler.advance(Duration.ofMillis(arrivalMillis));
    Authorization authorization =
        fixture.engine.authorize(fixture.request("GET", "/rota/1", Optional.empty()));
    if (isAccepted) {
      assertInstanceOf(Authorization.Granted.class, authorization);
    } else {
      Refusal refusal = assertInstanceOf(Authorization.Denied.class, authorization).refusal();
      assertEquals(Reason.NOT_READY, refusal.reason());
    }
  }

  /** A request that ends in time must not be touched by the stop. */
  @ParameterizedTest
  @ValueSource(ints = {200, 500})
  void requestThatEndsInTimeGetsItsResponse(int status) {
    lookUp();
    stop();
    exchange.attempts().get(0).respond(new ResponseHead(status, false, false));
    fixture.scheduler.advance(STOP_TIME.multipliedBy(2));
    assertEquals(status == 200 ? 200 : 0, exchange.deliveredStatus());
    assertEquals(status == 200, exchange.refusal().isEmpty());
  }
}
