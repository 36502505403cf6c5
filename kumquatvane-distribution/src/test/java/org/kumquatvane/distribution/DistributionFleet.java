package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.Document;
import org.kumquatvane.keys.CompactKeyTable;
import org.kumquatvane.membership.HeartbeatMembership;
import org.kumquatvane.membership.MembershipSettings;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.membership.WholeFleetScope;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedProcess;
import org.kumquatvane.testing.SimulatedScheduler;

/** VMs with membership and distribution on a simulated network and a fake platform. */
final class DistributionFleet {
  static final String VALUE = "document";

  final SimulatedClock time = new SimulatedClock();
  final SimulatedScheduler timers = new SimulatedScheduler(time);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final FakePlatform platform = new FakePlatform(time, timers);
  final RecordingCounters counters = new RecordingCounters();
  final Map<VmId, Member> members = new LinkedHashMap<>();
  long partsSent;
  long partBytesSent;
  private long listVersion;

  DistributionFleet(long seed, int size) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new SimulatedNetwork(time, timers, random);
    for (int i = 0; i < size; i++) {
      startVm();
    }
    publishList();
  }

  static DistributionFleet withDocument(int size, String... lines) {
    DistributionFleet fleet = new DistributionFleet(size, size);
    fleet.platform.publish(VALUE, TextDocuments.bytes(lines));
    fleet.advanceUntilAll(member -> member.generation() > 0, Duration.ofSeconds(10));
    fleet.advance(Duration.ofSeconds(5));
    return fleet;
  }

  Member startVm() {
    int number = members.size();
    Vm vm =
        new Vm(
            new VmId("e%02d".formatted(number)),
            new SocketEndpoint("127.0.0.1", 7000 + number),
            new FailureDomain("d" + number % 3),
            VmState.LIVE);
    Member member = new Member(vm, new SimulatedProcess(time, timers, 1));
    members.put(vm.id(), member);
    return member;
  }

  void publishList() {
    platform.publish(
        new VmList(++listVersion, running().stream().map(m -> m.vm).toList(), List.of()));
  }

  List<Member> running() {
    return members.values().stream().filter(m -> !m.process.isTerminated()).toList();
  }

  void advance(Duration duration) {
    timers.advance(duration);
  }

  Duration advanceUntilAll(Predicate<Member> condition, Duration limit) {
    for (long millis = 0; millis <= limit.toMillis(); millis += 50) {
      if (running().stream().allMatch(condition)) {
        return Duration.ofMillis(millis);
      }
      advance(Duration.ofMillis(50));
    }
    List<String> states = new ArrayList<>();
    running().forEach(m -> states.add(m.vm.id() + "=" + m.generation()));
    throw new AssertionError("condition not reached within " + limit + ": " + states);
  }

  /** One VM. */
  final class Member {
    final Vm vm;
    final SimulatedProcess process;
    final HeartbeatMembership membership;
    final CompactKeyTable keys = new CompactKeyTable();
    final ConfigurationTable table;
    final ConfigurationDistributor distributor;
    final List<Long> generations = new ArrayList<>();

    Member(Vm vm, SimulatedProcess process) {
      this.vm = vm;
      this.process = process;
      LocalConfigurationVersions localVersions = new LocalConfigurationVersions();
      PeerSender sender = network.sender(vm.id());
      membership =
          new HeartbeatMembership(
              vm,
              MembershipSettings.defaults(),
              new WholeFleetScope(),
              localVersions,
              sender,
              process.clock(),
              process.scheduler(),
              new DiscardingEventLog());
      table =
          new ConfigurationTable(
              List.of(keys, document -> generations.add(document.generation())),
              new FailingInvariantMonitor());
      distributor =
          new ConfigurationDistributor(
              DistributionSettings.of(VALUE, Duration.ofSeconds(3)),
              membership,
              table,
              keys,
              new TextDocuments(),
              platform.sourceOf(vm.id(), process),
              List.of(membership),
              localVersions,
              (destination, message) -> {
                if (message instanceof DocumentPart part) {
                  partsSent++;
                  partBytesSent += part.bytes().length;
                }
                sender.send(destination, message);
              },
              process.clock(),
              process.scheduler(),
              counters,
              new DiscardingEventLog());
      membership.addListener(distributor);
      PeerDispatcher dispatcher = new PeerDispatcher();
      membership.registerHandlers(dispatcher);
      distributor.registerHandlers(dispatcher);
      network.connect(
          vm.id(), (from, message) -> process.run(() -> dispatcher.dispatch(from, message)));
      membership.start();
      distributor.start();
    }

    long generation() {
      return table.current().map(Document::generation).orElse(0L);
    }

    boolean grants(String key) {
      return keys.find(KeyDigest.ofKey(key)).isPresent();
    }

    void kill() {
      process.terminate();
      network.disconnect(vm.id());
    }
  }
}
