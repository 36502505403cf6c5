package org.kumquatvane.engine.gray;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;

/** Configuration document of the simulated environment. */
final class SimulationDocument {
  static final ServiceName SERVICE = new ServiceName("service");
  static final Duration TIMEOUT = Duration.ofSeconds(1);
  static final Duration WARM_UP = Duration.ofSeconds(20);

  private SimulationDocument() {}

  static Document of(Scenario scenario) {
    PolicySet policies = scenario.policies();
    Service service =
        new Service(
            SERVICE,
            new InstanceCapacity(scenario.slots(), 350, WARM_UP),
            new QueuePolicy(200, 60),
            policies.selection(),
            new EjectionSettings(
                policies.profile(),
                scenario.floorPercent(),
                Duration.ofSeconds(10),
                Duration.ofMinutes(2)),
            new RetrySettings(policies.retry(), 3, 20, Duration.ofMillis(10)));
    return new Document(
        1,
        "digest",
        new FleetPolicy(50, LimitMechanism.STATIC_DIVISION),
        List.of(),
        List.of(service),
        List.of(route("look-up", "GET", true), route("booking", "POST", false)));
  }

  private static Route route(String name, String method, boolean idempotent) {
    return new Route(
        new RouteId(name),
        SERVICE,
        Set.of(method),
        "/**",
        idempotent,
        IdempotencyKeyRule.IGNORED,
        true,
        List.of(),
        TIMEOUT,
        1024);
  }
}
