package org.kumquatvane.cli.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReloadRequestsTest {
  /** A reload signal that came while a VM started ended its process (soak seed 1). */
  @ParameterizedTest
  @CsvSource({"0, 0, 0", "0, 2, 2", "1, 0, 1", "3, 0, 1", "3, 2, 3"})
  void requestsBeforeTheProcessIsReadyAreFollowedOnce(int before, int after, int reloads) {
    ReloadRequests requests = new ReloadRequests();
    AtomicInteger done = new AtomicInteger();
    for (int i = 0; i < before; i++) {
      requests.request();
    }
    requests.onRequest(done::incrementAndGet);
    for (int i = 0; i < after; i++) {
      requests.request();
    }
    assertEquals(reloads, done.get());
  }
}
