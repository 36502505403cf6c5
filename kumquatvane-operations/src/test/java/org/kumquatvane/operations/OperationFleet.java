package org.kumquatvane.operations;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.membership.testing.SimulatedFleet;
import org.kumquatvane.membership.testing.SimulatedMembership;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/** Simulated VMs with replicated ledgers; counts the runs of every key. */
final class OperationFleet {
  static final WorkspaceId WORKSPACE = new WorkspaceId("w");

  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final SimulatedFleet vms;
  final Map<VmId, ReplicatedOperationLedger> ledgers = new TreeMap<>();
  final Map<String, Integer> runCounts = new HashMap<>();
  final Map<String, Long> verdicts = new TreeMap<>();
  private final OperationSettings settings;
  private final int maximumVmCount;

  OperationFleet(long seed, int maximumVmCount, OperationSettings settings) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new SimulatedNetwork(clock, scheduler, random);
    vms = new SimulatedFleet(clock, scheduler, random, maximumVmCount);
    this.settings = settings;
    this.maximumVmCount = maximumVmCount;
  }

  VmId start() {
    SimulatedMembership membership = vms.start();
    VmId vm = membership.self().id();
    ReplicatedOperationLedger ledger =
        new ReplicatedOperationLedger(
            membership.time(),
            membership.time(),
            network.sender(vm),
            membership,
            new FailingInvariantMonitor(),
            settings);
    PeerDispatcher dispatcher = new PeerDispatcher();
    ledger.registerHandlers(dispatcher);
    network.connect(
        vm,
        (from, message) -> membership.time().dispatch(() -> dispatcher.dispatch(from, message)));
    ledger.documentInForce(
        new Document(
            1,
            "digest",
            new FleetPolicy(maximumVmCount, LimitMechanism.LEASED_SHARES),
            List.of(),
            List.of(),
            List.of()));
    ledgers.put(vm, ledger);
    return vm;
  }

  void kill(VmId vm) {
    vms.kill(vm);
    network.disconnect(vm);
    ledgers.remove(vm);
  }

  void requestViewOfAllVms() {
    vms.requestView(new TreeSet<>(vms.alive()));
  }

  String newKey() {
    return keyAt(clock.epochMillis() + random.nextInt(1000) - 500, random);
  }

  static String keyAt(long millis, UniformRandomProvider random) {
    long high = millis << 16 | 0x7000 | random.nextInt(0x1000);
    long low = random.nextLong() >>> 2 | 0x8000_0000_0000_0000L;
    return new UUID(high, low).toString();
  }

  VmId randomVm() {
    List<VmId> alive = new ArrayList<>(ledgers.keySet());
    return alive.get(random.nextInt(alive.size()));
  }

  /**
   * Sends a request for an operation to a VM. If the verdict is to proceed, the operation randomly
   * runs, does not run or ends with unknown outcome; the result is reported to the ledger if the VM
   * still exists by then.
   */
  void request(VmId vm, String key, Duration callerWaits, Consumer<BeginVerdict> observer) {
    ReplicatedOperationLedger ledger = ledgers.get(vm);
    if (ledger == null || !vms.member(vm).time().isRunning()) {
      return;
    }
    Operation operation = new Operation(WORKSPACE, key, "request");
    SimulatedMembership membership = vms.member(vm);
    ledger.begin(
        operation,
        Deadline.after(membership.time(), callerWaits),
        verdict -> {
          verdicts.merge(verdict.getClass().getSimpleName(), 1L, Long::sum);
          observer.accept(verdict);
          if (verdict instanceof BeginVerdict.Proceed) {
            OperationResult result = simulateRun(key);
            membership
                .time()
                .schedule(
                    Deadline.after(membership.time(), Duration.ofMillis(random.nextInt(300))),
                    () -> ledger.finish(operation, result));
          }
        });
  }

  private OperationResult simulateRun(String key) {
    int kind = random.nextInt(10);
    if (kind == 0) {
      return new OperationResult.NotRun();
    }
    runCounts.merge(key, 1, Integer::sum);
    if (kind == 1) {
      return new OperationResult.Unknown();
    }
    return new OperationResult.Finished(new RecordedResponse(201, List.of(), new byte[] {1}));
  }

  long duplicateRuns() {
    return runCounts.values().stream().filter(count -> count > 1).count();
  }
}
