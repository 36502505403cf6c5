package org.kumquatvane.cli.serve;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/**
 * Stop requests from SIGTERM and SIGINT: the first signal starts the planned stop, a second one
 * terminates the process immediately.
 *
 * <p>JVM shutdown hooks are unsuitable: they run concurrently, so the log would close before
 * requests in flight complete, and the exit code could not be chosen.
 */
public final class SignalStopRequests implements StopRequests {
  /**
   * Signals within this time count as one: Ctrl-C in a terminal reaches the whole process group,
   * and a supervising script then sends the process another signal.
   */
  private static final Duration DUPLICATE_SIGNAL_WINDOW = Duration.ofSeconds(1);

  private final CountDownLatch requested = new CountDownLatch(1);
  private final AtomicReference<@Nullable Deadline> duplicateWindowEnd = new AtomicReference<>();
  private final Clock clock;

  /**
   * Installs the signal handlers.
   *
   * @param clock distinguishes a second signal from a duplicate
   */
  public SignalStopRequests(Clock clock) {
    this.clock = clock;
    Signals.handle("TERM", this::onSignal);
    Signals.handle("INT", this::onSignal);
  }

  private void onSignal() {
    if (duplicateWindowEnd.compareAndSet(null, Deadline.after(clock, DUPLICATE_SIGNAL_WINDOW))) {
      request();
      return;
    }
    Deadline windowEnd = duplicateWindowEnd.get();
    if (windowEnd != null && windowEnd.isReached(clock)) {
      Runtime.getRuntime().halt(ExitCode.SECOND_SIGNAL.code());
    }
  }

  @Override
  public void request() {
    requested.countDown();
  }

  @Override
  public void await() {
    try {
      requested.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public boolean await(Duration timeout) {
    try {
      return requested.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }
}
