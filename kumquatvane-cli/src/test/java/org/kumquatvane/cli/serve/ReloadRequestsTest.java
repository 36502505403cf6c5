package org.kumquatvane.cli.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReloadRequestsTest {
  /**
   * Guards against a reload signal that terminates a VM during startup, before it has a handler.
   */
  @ParameterizedTest
  @CsvSource({"0, 0, 0", "0, 2, 2", "1, 0, 1", "3, 0, 1", "3, 2, 3"})
  void runsOneReloadForAllRequestsReceivedDuringStartup(
      int duringStartup, int afterStartup, int expectedReloads) {
    ReloadRequests requests = new ReloadRequests();
    AtomicInteger reloads = new AtomicInteger();
    for (int i = 0; i < duringStartup; i++) {
      requests.request();
    }
    requests.onRequest(reloads::incrementAndGet);
    for (int i = 0; i < afterStartup; i++) {
      requests.request();
    }
    assertEquals(expectedReloads, reloads.get());
  }
}
