package org.kumquatvane.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedProcess;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Simulated fleet of memberships. After each step of simulated time it checks that no two different
 * views are valid.
 */
final class FleetSimulation {
  private static final Duration STEP = Duration.ofMillis(10);

  final SimulatedClock time = new SimulatedClock();
  final SimulatedScheduler timers = new SimulatedScheduler(time);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final Map<VmId, Member> members = new LinkedHashMap<>();
  int maximumVmCount;
  private long listVersion;
  private int started;

  FleetSimulation(long seed, int maximumVmCount) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.network = new SimulatedNetwork(time, timers, random);
    this.maximumVmCount = maximumVmCount;
  }

  static FleetSimulation running(int size) {
    FleetSimulation fleet = new FleetSimulation(size, size);
    for (int i = 0; i < size; i++) {
      fleet.startVm();
    }
    fleet.publishList();
    return fleet;
  }

  Member startVm() {
    VmId id = new VmId("e%02d".formatted(started++));
    Vm vm =
        new Vm(
            id,
            new SocketEndpoint("127.0.0.1", 7000 + started),
            new FailureDomain("d" + started % 3),
            VmState.LIVE);
    double rate = 1 + (random.nextDouble() - 0.5) / 1_000;
    Member member = new Member(vm, new SimulatedProcess(time, timers, rate));
    members.put(id, member);
    return member;
  }

  /**
   * Returns the VM list of the platform: all VMs that have not terminated, without the omitted
   * ones.
   */
  VmList vmListWithout(Set<VmId> omitted) {
    List<Vm> vms =
        running().stream().map(m -> m.vm).filter(vm -> !omitted.contains(vm.id())).toList();
    return new VmList(++listVersion, vms, List.of());
  }

  void publishList() {
    VmList list = vmListWithout(Set.of());
    running().forEach(member -> member.applyList(list));
  }

  List<Member> running() {
    return members.values().stream().filter(member -> !member.process.isTerminated()).toList();
  }

  void advance(Duration duration) {
    for (long i = duration.toMillis() / STEP.toMillis(); i > 0; i--) {
      timers.advance(STEP);
      assertSingleView();
    }
  }

  /** Fails if two VMs currently hold valid views with different members. */
  void assertSingleView() {
    Map<Long, Set<VmId>> views = new TreeMap<>();
    for (Member member : members.values()) {
      if (member.process.isRunning()) {
        member
            .membership
            .agreedView()
            .ifPresent(view -> views.computeIfAbsent(view.digest(), digest -> names(view)));
      }
    }
    if (views.values().stream().distinct().count() > 1) {
      throw new AssertionError("views of different members are in force at once: " + views);
    }
  }

  /** Advances until all expected VMs hold the view of exactly these VMs. */
  Duration advanceUntilViewOf(List<Member> expected, Duration limit) {
    Set<VmId> names = expected.stream().map(m -> m.vm.id()).collect(Collectors.toSet());
    for (long millis = 0; millis <= limit.toMillis(); millis += 100) {
      if (expected.stream()
          .allMatch(
              m -> m.membership.agreedView().filter(v -> names(v).equals(names)).isPresent())) {
        return Duration.ofMillis(millis);
      }
      advance(Duration.ofMillis(100));
    }
    List<String> held = new ArrayList<>();
    expected.forEach(m -> held.add(m.vm.id() + "=" + m.membership.agreedView()));
    throw new AssertionError("no view of " + names + " within " + limit + ": " + held);
  }

  static Set<VmId> names(AgreedView view) {
    return view.members().stream().map(Vm::id).collect(Collectors.toCollection(TreeSet::new));
  }

  /** One VM of the fleet. */
  final class Member {
    final Vm vm;
    final SimulatedProcess process;
    final HeartbeatMembership membership;
    final List<String> events = new ArrayList<>();

    Member(Vm vm, SimulatedProcess process) {
      this.vm = vm;
      this.process = process;
      membership =
          new HeartbeatMembership(
              vm,
              MembershipSettings.defaults(),
              new WholeFleetScope(),
              () -> ConfigurationVersions.NONE,
              network.sender(vm.id()),
              process.clock(),
              process.scheduler(),
              new DiscardingEventLog());
      PeerDispatcher dispatcher = new PeerDispatcher();
      membership.registerHandlers(dispatcher);
      network.connect(
          vm.id(), (from, message) -> process.run(() -> dispatcher.dispatch(from, message)));
      membership.setMaximumVmCount(maximumVmCount);
      membership.addListener(new RecordingListener(events));
      membership.start();
    }

    void applyList(VmList list) {
      process.run(() -> membership.vmListChanged(list));
    }

    void kill() {
      process.terminate();
      network.disconnect(vm.id());
    }

    /**
     * Checks the views before the resumed process has run any task, when its state is most out of
     * date.
     */
    void resume() {
      process.resume();
      assertSingleView();
      process.runDeferredTasks();
    }
  }

  private record RecordingListener(List<String> events) implements MembershipListener {
    @Override
    public void viewAgreed(AgreedView view) {
      events.add("agreed " + view.members().size());
    }

    @Override
    public void viewLost() {
      events.add("lost");
    }

    @Override
    public void vmDeparted(VmId vm) {
      events.add("departed " + vm);
    }

    @Override
    public void resumedAfterPause() {
      events.add("resumed");
    }
  }
}
