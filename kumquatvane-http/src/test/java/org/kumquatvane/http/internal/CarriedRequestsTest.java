package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.RequestId;

/** Guards against a connection that forgets a request, or remembers requests without a bound. */
class CarriedRequestsTest {
  private final CarriedRequests carried = new CarriedRequests();

  @ParameterizedTest
  @CsvSource({"0, false", "1, false", "8, false", "9, false", "1023, false", "1024, true"})
  void eachRequestIsAddedOnce(int count, boolean isFull) {
    for (int i = 0; i < count; i++) {
      assertFalse(carried.contains(id(i)));
      carried.add(id(i), false);
    }

    assertEquals(count, carried.count());
    assertEquals(isFull, carried.isFull());
    for (int i = 0; i < count; i++) {
      RequestId added = id(i);
      assertTrue(carried.contains(added), added::value);
      assertThrows(IllegalStateException.class, () -> carried.add(added, false));
    }
  }

  private static RequestId id(int number) {
    return new RequestId("request-" + number);
  }
}
