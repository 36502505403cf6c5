package org.kumquatvane.engine.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.RouteTraffic;
import org.kumquatvane.document.WeightedService;

/** Guards against services of a route that get more or fewer requests than their weight. */
class TrafficSplitTest {
  private static final int REQUESTS = 20_000;
  private static final double TOLERANCE = 0.02;

  private static Route route(int... weights) {
    List<WeightedService> backends = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      backends.add(new WeightedService(new ServiceName("part-" + i), weights[i]));
    }
    return new Route(
        new RouteId("route"),
        new ServiceName("single"),
        Set.of(),
        "/*/**",
        true,
        IdempotencyKeyRule.IGNORED,
        true,
        List.of(),
        Duration.ofSeconds(1),
        1_000,
        new RouteTraffic("", false, backends, 0, Duration.ZERO, 0));
  }

  @ParameterizedTest
  @CsvSource({"90, 10, 0.1", "50, 50, 0.5", "1, 0, 0", "0, 7, 1", "97, 3, 0.03"})
  void splitsRequestsByWeight(int first, int second, double expected) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(17L);
    Route route = route(first, second);
    int inSecond = 0;
    for (int i = 0; i < REQUESTS; i++) {
      RequestId id = new RequestId(String.format("%016x", random.nextLong()));
      inSecond += TrafficSplit.choose(route, id).value().equals("part-1") ? 1 : 0;
    }
    assertEquals(expected, (double) inSecond / REQUESTS, TOLERANCE);
  }

  @ParameterizedTest
  @CsvSource({"0, 0"})
  void routeWithoutWeightsUsesItsOwnService(int first, int second) {
    assertEquals("single", TrafficSplit.choose(route(first, second), new RequestId("r")).value());
    assertEquals("single", TrafficSplit.choose(route(), new RequestId("r")).value());
  }
}
