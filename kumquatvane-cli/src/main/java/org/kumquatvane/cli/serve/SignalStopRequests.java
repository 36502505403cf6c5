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
 * Stop requests from SIGTERM and SIGINT: the first begins the planned stop, a second ends the
 * process at once.
 *
 * <p>Shutdown hooks of the JVM would not do: they run beside each other, so the log would close
 * while requests in flight still end, and the exit code could not be chosen.
 */
public final class SignalStopRequests implements StopRequests {
  /**
   * Signals within this time count as one: Ctrl-C in a terminal reaches the whole process group,
   * and a supervising script then signals the process once more.
   */
  private static final Duration SAME_SIGNAL = Duration.ofSeconds(1);

  private final CountDownLatch requested = new CountDownLatch(1);
  private final AtomicReference<@Nullable Deadline> secondSignalFrom = new AtomicReference<>();
  private final Clock clock;

  /**
   * Installs the signal handlers.
   *
   * @param clock tells a second signal from a doubled one
   */
  public SignalStopRequests(Clock clock) {
    this.clock = clock;
    Signals.handle("TERM", this::received);
    Signals.handle("INT", this::received);
  }

  private void received() {
    if (secondSignalFrom.compareAndSet(null, Deadline.after(clock, SAME_SIGNAL))) {
      request();
      return;
    }
    Deadline from = secondSignalFrom.get();
    if (from != null && from.isReached(clock)) {
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
  public void await(Duration longest) {
    try {
      if (!requested.await(longest.toMillis(), TimeUnit.MILLISECONDS)) {
        request();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
