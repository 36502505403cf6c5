package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Polls conditions with a time limit far above the duration of a healthy run, even on a busy
 * machine.
 */
public final class Conditions {
  private static final Duration LIMIT = Duration.ofSeconds(90);
  private static final long INTERVAL_MILLIS = 20;

  private Conditions() {}

  /** A check that may fail while processes start or stop. */
  @FunctionalInterface
  public interface Check {
    boolean holds() throws Exception;
  }

  public static void await(String description, Check condition) {
    await(description, condition, () -> "");
  }

  public static void await(String description, Check condition, Supplier<String> details) {
    long start = System.nanoTime();
    Throwable last = null;
    while (System.nanoTime() - start < LIMIT.toNanos()) {
      try {
        if (condition.holds()) {
          return;
        }
        last = null;
        Thread.sleep(INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      } catch (Exception e) {
        last = e;
        pause();
      }
    }
    fail("not reached within " + LIMIT + ": " + description + "\n" + details.get(), last);
  }

  private static void pause() {
    try {
      Thread.sleep(INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
