package org.kumquatvane.peering;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.Heartbeat;
import org.kumquatvane.membership.HeartbeatMembership;
import org.kumquatvane.membership.MembershipSettings;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.membership.WholeFleetScope;
import org.kumquatvane.peering.codec.MessageRegistry;
import org.kumquatvane.peering.codec.PeerCodecs;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Guards against membership traffic above 4 KB per second and VM; prints the measured rates for
 * docs/CAPACITY.md.
 */
class ControlTrafficTest {
  private static final int BUDGET_BYTES_PER_SECOND = 4_096;
  private static final int MEASURED_SECONDS = 60;
  private static final int ACKNOWLEDGEMENT_BYTES = 4;

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final MessageRegistry registry = PeerCodecs.registry();
  private final Map<String, Long> messages = new HashMap<>();
  private final Map<String, Long> bytes = new HashMap<>();

  @ParameterizedTest
  @ValueSource(ints = {10, 20, 40})
  void steadyStateMembershipTrafficStaysWithinBudget(int size) {
    SimulatedNetwork network =
        new SimulatedNetwork(clock, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(size));
    List<HeartbeatMembership> fleet = new ArrayList<>();
    for (Vm vm : vms(size)) {
      PeerSender sender = network.sender(vm.id());
      HeartbeatMembership membership =
          membership(
              vm,
              (destination, message) -> {
                String metricLabel = registry.metricLabel(message);
                messages.merge(metricLabel, 1L, Long::sum);
                bytes.merge(metricLabel, (long) registry.encode(message).remaining(), Long::sum);
                sender.send(destination, message);
              });
      PeerDispatcher dispatcher = new PeerDispatcher();
      membership.registerHandlers(dispatcher);
      network.connect(vm.id(), dispatcher::dispatch);
      membership.setMaximumVmCount(size);
      membership.vmListChanged(new VmList(1, vms(size), List.of()));
      fleet.add(membership);
      membership.start();
    }
    scheduler.advance(Duration.ofSeconds(20));
    assertTrue(fleet.stream().allMatch(member -> member.agreedView().isPresent()));
    messages.clear();
    bytes.clear();
    scheduler.advance(Duration.ofSeconds(MEASURED_SECONDS));

    double perVm = (double) size * MEASURED_SECONDS;
    long acknowledgements = (long) (size - 1) * ACKNOWLEDGEMENT_BYTES;
    double sent = bytes.values().stream().mapToLong(Long::longValue).sum() / perVm;
    System.out.printf("control: vms=%d sent_bytes_per_second=%.0f", size, sent);
    messages.forEach(
        (metricLabel, count) ->
            System.out.printf(
                " %s=%.1f/s,%.1fB",
                metricLabel, count / perVm, (double) bytes.getOrDefault(metricLabel, 0L) / count));
    System.out.printf(" acknowledgement_bytes_per_second_at_most=%d%n", 4 * acknowledgements);
    assertTrue(sent < BUDGET_BYTES_PER_SECOND);
  }

  /** Guards against state per pair of VMs, with a coarse measurement of the used heap. */
  @Test
  void memoryPerVmInScopeIsBounded() {
    int size = 2_000;
    List<Vm> vms = vms(size);
    long before = usedBytes();
    HeartbeatMembership membership = membership(vms.get(0), (destination, message) -> {});
    PeerDispatcher dispatcher = new PeerDispatcher();
    membership.registerHandlers(dispatcher);
    membership.setMaximumVmCount(size);
    membership.vmListChanged(new VmList(1, vms, List.of()));
    vms.forEach(
        vm -> dispatcher.dispatch(vm.id(), new Heartbeat(1, 0, ConfigurationVersions.NONE)));
    membership.start();
    scheduler.advance(Duration.ofSeconds(2));
    long perVm = (usedBytes() - before) / size;
    System.out.printf("memory: vms=%d bytes_per_vm_in_scope=%d%n", size, perVm);
    assertTrue(membership.listedVms().size() == size);
    assertTrue(perVm < 4_096, "bytes per VM in scope: " + perVm);
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private HeartbeatMembership membership(Vm vm, PeerSender sender) {
    return new HeartbeatMembership(
        vm,
        MembershipSettings.defaults(),
        new WholeFleetScope(),
        () -> new ConfigurationVersions(1_000, 0, 1_000),
        sender,
        clock,
        scheduler,
        new DiscardingEventLog());
  }

  private static List<Vm> vms(int size) {
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      vms.add(
          new Vm(
              new VmId("entry-%04d".formatted(i)),
              new SocketEndpoint("127.0.0.1", 7_000 + i),
              new FailureDomain("d" + i % 3),
              VmState.LIVE));
    }
    return vms;
  }
}
