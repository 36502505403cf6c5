package org.kumquatvane.server;

import java.time.Duration;

/** Sleeps between the steps of a planned stop. */
final class Pause {
  private Pause() {}

  static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
