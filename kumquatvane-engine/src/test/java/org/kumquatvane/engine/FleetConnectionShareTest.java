package org.kumquatvane.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;

/** Guards against all VMs together opening more connections than an instance accepts. */
class FleetConnectionShareTest {
  @ParameterizedTest(name = "{0} connections over at most {1} VMs: {2} each")
  @CsvSource({"350, 50, 7", "330, 50, 6", "350, 40, 8", "350, 2000, 1", "1, 50, 1"})
  void dividesConnectionsByMaximumVmCount(int connections, int vms, int share) {
    Service service =
        new Service(
            new ServiceName("rota"),
            new InstanceCapacity(3, connections, Duration.ofSeconds(30)),
            new QueuePolicy(10, 10),
            SelectionMode.TWO_CHOICES,
            new EjectionSettings(
                EjectionProfile.FAST, 50, Duration.ofSeconds(10), Duration.ofMinutes(1)),
            new RetrySettings(RetryMode.NONE, 1, 0, Duration.ZERO));
    FleetConnectionShare connectionShare = new FleetConnectionShare();
    assertEquals(1, connectionShare.connectionsPerInstance(service), "before the first document");
    connectionShare.documentInForce(
        new Document(
            1,
            "digest",
            new FleetPolicy(vms, LimitMechanism.STATIC_DIVISION),
            List.of(),
            List.of(service),
            List.of()));
    assertEquals(share, connectionShare.connectionsPerInstance(service));
  }
}
