package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeaderNamesTest {
  /** Guards against forwarding hop-by-hop, credential and proxy fields, in any letter case. */
  @ParameterizedTest
  @CsvSource({
    "Authorization, false, true",
    "aUTHORIZATION, false, true",
    "Proxy-Authorization, false, false",
    "Connection, false, false",
    "TE, false, false",
    "Kumquatvane-Workspace, false, false",
    "kumquatvane-execution, false, false",
    "Expect, false, true",
    "Idempotency-Key, true, true",
    "Content-Type, true, true"
  })
  void forwardsOnlyEndToEndFields(String name, boolean toBackend, boolean toCaller) {
    assertEquals(toBackend, HeaderNames.isForwardedToBackend(name));
    assertEquals(toCaller, HeaderNames.isForwardedToCaller(name));
  }
}
