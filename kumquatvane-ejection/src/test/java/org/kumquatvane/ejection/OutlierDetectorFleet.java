package org.kumquatvane.ejection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
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
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/** VMs that evaluate the instances of one service and exchange evidence in simulated time. */
final class OutlierDetectorFleet {
  static final ServiceName SERVICE = new ServiceName("rota");
  static final Duration WARM_UP = Duration.ofSeconds(30);
  static final Duration BASE_EJECTION = Duration.ofSeconds(10);

  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final RecordingCounters counters = new RecordingCounters();
  final List<OutlierDetector> vms = new ArrayList<>();
  private final List<VmId> ids;

  OutlierDetectorFleet(int vmCount, EjectionProfile profile, int floorPercent, long seed) {
    this(vmCount, profile, floorPercent, seed, new FailingInvariantMonitor());
  }

  OutlierDetectorFleet(
      int vmCount, EjectionProfile profile, int floorPercent, long seed, InvariantMonitor monitor) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new SimulatedNetwork(clock, scheduler, random);
    ids = IntStream.range(0, vmCount).mapToObj(vm -> new VmId("e" + vm)).toList();
    for (VmId id : ids) {
      List<VmId> peers = ids.stream().filter(other -> !other.equals(id)).toList();
      OutlierDetector health =
          new OutlierDetector(
              id,
              clock,
              scheduler,
              () -> peers,
              network.sender(id),
              counters,
              new DiscardingEventLog(),
              monitor);
      network.connect(
          id,
          (sender, message) -> {
            if (message instanceof InstanceEvidence evidence) {
              health.handle(sender, evidence);
            }
          });
      health.documentInForce(document(profile, floorPercent));
      health.start();
      vms.add(health);
    }
  }

  static Document document(EjectionProfile profile, int floorPercent) {
    Service service =
        new Service(
            SERVICE,
            new InstanceCapacity(3, 350, WARM_UP),
            new QueuePolicy(100, 50),
            SelectionMode.TWO_CHOICES,
            new EjectionSettings(profile, floorPercent, BASE_EJECTION, Duration.ofMinutes(2)),
            new RetrySettings(RetryMode.BUDGETED, 3, 20, Duration.ofMillis(10)));
    return new Document(
        1,
        "digest",
        new FleetPolicy(50, LimitMechanism.STATIC_DIVISION),
        List.of(),
        List.of(service),
        List.of());
  }

  void listInstances(int live) {
    listInstances(live, 0);
  }

  void listInstances(int live, int leaving) {
    List<BackendVm> backends = new ArrayList<>();
    for (int i = 0; i < live + leaving; i++) {
      backends.add(
          new BackendVm(
              instance(i),
              SERVICE,
              new SocketEndpoint("127.0.0.1", 6000 + i),
              new FailureDomain("a"),
              i < live ? VmState.LIVE : VmState.LEAVING));
    }
    vms.forEach(vm -> vm.vmListChanged(new VmList(1, List.of(), backends)));
  }

  static InstanceId instance(int number) {
    return new InstanceId("r" + number);
  }

  boolean isEjected(int vm, int instance) {
    return vms.get(vm).eligibility(SERVICE, instance(instance)) != Eligibility.ELIGIBLE;
  }

  /** Adds each pair of a VM and an instance that it currently ejects. */
  void addEjected(int instances, Set<String> ejected) {
    for (int vm = 0; vm < vms.size(); vm++) {
      for (int instance = 0; instance < instances; instance++) {
        if (isEjected(vm, instance)) {
          ejected.add("vm " + vm + " instance " + instance);
        }
      }
    }
  }

  long ejectionCount() {
    return counters.value("ejection.instance_ejected");
  }

  /** Determines the outcome of an attempt of a VM at an instance. */
  interface InstanceBehaviour {
    AttemptOutcome outcomeOf(int vm, int instance);
  }

  /** Returns a success with a log-normal latency of median 10 ms, multiplied by the slowdown. */
  AttemptOutcome success(double slowdown) {
    double gaussian = 0;
    for (int i = 0; i < 12; i++) {
      gaussian += random.nextDouble();
    }
    double millis = 10 * slowdown * Math.exp(0.6 * (gaussian - 6));
    return new AttemptOutcome(
        AttemptOutcome.Kind.SUCCESS, Duration.ofNanos(Math.round(millis * 1_000_000)));
  }

  static AttemptOutcome timeout() {
    return new AttemptOutcome(AttemptOutcome.Kind.TIMED_OUT, Duration.ofMillis(500));
  }

  /** Each VM sends requests to random eligible instances at the given rate. */
  void sendRequests(
      Duration time, int instances, int requestsPerSecondAndVm, InstanceBehaviour behaviour) {
    long steps = time.toMillis() * requestsPerSecondAndVm / 1000;
    for (long step = 0; step < steps; step++) {
      scheduler.advance(Duration.ofNanos(1_000_000_000L / requestsPerSecondAndVm));
      for (int vm = 0; vm < vms.size(); vm++) {
        int chosen = random.nextInt(instances);
        if (vms.get(vm).eligibility(SERVICE, instance(chosen)) != Eligibility.EJECTED) {
          vms.get(vm).recordOutcome(SERVICE, instance(chosen), behaviour.outcomeOf(vm, chosen));
        }
      }
    }
  }
}
