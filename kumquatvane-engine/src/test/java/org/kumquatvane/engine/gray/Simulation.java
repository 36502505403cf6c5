package org.kumquatvane.engine.gray;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.Service;
import org.kumquatvane.engine.AuthorizedRequest;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.PresentedKey;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Forty VMs that select instances independently, in front of the simulated instances of one
 * service.
 */
final class Simulation {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final double[] WORKSPACE_SHARES = {0.25, 0.25, 0.2, 0.06, 0.06, 0.06, 0.06, 0.06};

  /** Requests of workspace 1, a large one, take this many times as long. */
  private static final double SLOW_WORKSPACE_FACTOR = 2;

  private static final double MEAN_SERVICE_MILLIS = 20;
  private static final double LOG_DEVIATION = 0.6;
  private static final int DOMAINS = 3;

  final Scenario scenario;
  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final UniformRandomProvider random;
  final SimulatedNetwork network;
  final Document document;
  final SimulationResult result = new SimulationResult();
  final KeyDigest[] keys = new KeyDigest[SimulationResult.WORKSPACES];
  final Map<InstanceId, SimulatedInstance> instances = new HashMap<>();
  final Map<InstanceId, Deadline> warmUpEnd = new HashMap<>();
  private final Map<String, Integer> operationRuns = new HashMap<>();
  private final List<SimulatedVm> vms = new ArrayList<>();
  private final double[][] vmShares = new double[SimulationResult.WORKSPACES][Scenario.VMS];
  private long requestCount;

  Simulation(Scenario scenario) {
    this.scenario = scenario;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
    network = new SimulatedNetwork(clock, scheduler, random);
    document = SimulationDocument.of(scenario);
    List<VmId> ids = new ArrayList<>();
    for (int vm = 0; vm < Scenario.VMS; vm++) {
      ids.add(new VmId("e" + vm));
    }
    for (int workspace = 0; workspace < SimulationResult.WORKSPACES; workspace++) {
      keys[workspace] = KeyDigest.ofKey("key" + workspace);
      for (int vm = 0; vm < Scenario.VMS; vm++) {
        // The platform's load balancer distributes a workspace's requests unevenly.
        vmShares[workspace][vm] = 0.3 + 1.4 * random.nextDouble();
      }
    }
    for (int vm = 0; vm < Scenario.VMS; vm++) {
      vms.add(new SimulatedVm(this, vm, ids));
    }
    publishInstances(0);
  }

  static FailureDomain domain(int number) {
    return new FailureDomain("d" + number % DOMAINS);
  }

  /** Lists the instances; those before the given number have been replaced by cold ones. */
  private void publishInstances(int replaced) {
    List<BackendVm> backends = new ArrayList<>();
    for (int i = 0; i < scenario.instances(); i++) {
      InstanceId id = new InstanceId(i < replaced ? "new" + i : "i" + i);
      if (!instances.containsKey(id)) {
        instances.put(id, new SimulatedInstance(clock, scheduler, scenario.slots()));
        if (i < replaced) {
          warmUpEnd.put(id, Deadline.after(clock, SimulationDocument.WARM_UP));
        }
      }
      backends.add(
          new BackendVm(
              id,
              SimulationDocument.SERVICE,
              new SocketEndpoint("127.0.0.1", 6000 + i),
              domain(i),
              VmState.LIVE));
    }
    VmList list = new VmList(1, List.of(), backends);
    vms.forEach(vm -> vm.applyVmList(list));
  }

  SimulationResult run() {
    scheduleArrival();
    int ticks = (int) (Scenario.END_SECONDS * 1000L / TICK.toMillis());
    int onset = (int) (Scenario.ONSET_SECONDS * 1000L / TICK.toMillis());
    Set<String> falseEjections = new HashSet<>();
    Set<InstanceId> falselyEjected = new HashSet<>();
    for (int tick = 0; tick < ticks; tick++) {
      if (tick == onset && scenario.fault() == Fault.COLD_START) {
        publishInstances(Math.max(1, scenario.instances() / 4));
      }
      scheduler.advance(TICK);
      int ejectingVms = 0;
      for (SimulatedVm vm : vms) {
        for (InstanceId instance : vm.ejectedInstances(instances.keySet())) {
          boolean isFaulty = scenario.fault().isOfInstance() && tick >= onset && isFaulty(instance);
          ejectingVms += isFaulty ? 1 : 0;
          if (!isFaulty && falseEjections.add(vm.id() + " " + instance)) {
            falselyEjected.add(instance);
          }
        }
      }
      if (tick >= onset && ejectingVms >= 0.9 * Scenario.VMS) {
        result.detectionSeconds = Math.min(result.detectionSeconds, (tick + 1 - onset) / 10.0);
      }
    }
    result.falseEjections = falseEjections.size();
    result.falselyEjectedInstances = falselyEjected.size();
    return result;
  }

  static boolean isFaulty(InstanceId instance) {
    return instance.value().equals("i0");
  }

  boolean isAfterOnset() {
    return clock.monotonicNanos() >= Duration.ofSeconds(Scenario.ONSET_SECONDS).toNanos();
  }

  /** Excludes requests sent too late to complete before the run ends. */
  boolean isMeasured() {
    long left = Duration.ofSeconds(Scenario.END_SECONDS).toNanos() - clock.monotonicNanos();
    return isAfterOnset() && left > 2 * SimulationDocument.TIMEOUT.toNanos();
  }

  private double secondsSinceOnset() {
    return clock.monotonicNanos() / 1e9 - Scenario.ONSET_SECONDS;
  }

  private double ratePerSecond(int workspace) {
    double meanFactor = 1 + WORKSPACE_SHARES[1] * (SLOW_WORKSPACE_FACTOR - 1);
    double capacity =
        scenario.instances() * scenario.slots() / (MEAN_SERVICE_MILLIS / 1000 * meanFactor);
    double rate = WORKSPACE_SHARES[workspace] * capacity * scenario.load();
    boolean isSpike =
        scenario.fault() == Fault.LOAD_SPIKE && isAfterOnset() && secondsSinceOnset() < 10;
    double greedy = workspace == 0 && isAfterOnset() ? scenario.greedyFactor() : 1;
    return rate * (isSpike ? 2 : 1) * greedy;
  }

  private void scheduleArrival() {
    double total = 0;
    for (int workspace = 0; workspace < SimulationResult.WORKSPACES; workspace++) {
      total += ratePerSecond(workspace);
    }
    double wait = -Math.log(1 - random.nextDouble()) / total;
    scheduler.schedule(
        Deadline.after(clock, Duration.ofNanos((long) (wait * 1e9))),
        () -> {
          sendRequest();
          scheduleArrival();
        });
  }

  private void sendRequest() {
    double[] rates = new double[SimulationResult.WORKSPACES];
    for (int workspace = 0; workspace < rates.length; workspace++) {
      rates[workspace] = ratePerSecond(workspace);
    }
    int workspace = drawIndex(rates);
    int vm = drawIndex(vmShares[workspace]);
    boolean idempotent = random.nextDouble() < 0.8;
    Route route = document.routes().get(idempotent ? 0 : 1);
    Service service = document.services().get(0);
    requestCount++;
    CallerRequest head =
        new CallerRequest(
            new RequestId("q" + requestCount),
            idempotent ? "GET" : "POST",
            "/" + requestCount,
            new PresentedKey.Present(keys[workspace]),
            Optional.empty(),
            Optional.empty(),
            clock.monotonicNanos());
    AuthorizedRequest request =
        new AuthorizedRequest(
            head,
            new WorkspaceId("w" + workspace),
            route,
            service,
            0,
            Deadline.after(clock, route.timeout()));
    SimulatedExchange exchange =
        new SimulatedExchange(this, vm, workspace, idempotent, clock.monotonicNanos());
    if (isMeasured()) {
      result.sent[workspace]++;
    }
    vms.get(vm).run(request, new BodyDescription(true, "body"), exchange);
  }

  private int drawIndex(double[] weights) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double left = random.nextDouble() * total;
    for (int i = 0; i < weights.length; i++) {
      left -= weights[i];
      if (left < 0) {
        return i;
      }
    }
    return weights.length - 1;
  }

  Duration serviceTime(InstanceId instance, int workspace) {
    double gaussian = -6;
    for (int i = 0; i < 12; i++) {
      gaussian += random.nextDouble();
    }
    double median = MEAN_SERVICE_MILLIS / Math.exp(LOG_DEVIATION * LOG_DEVIATION / 2);
    double factor = workspace == 1 ? SLOW_WORKSPACE_FACTOR : 1;
    if (isAfterOnset()) {
      Fault fault = scenario.fault();
      boolean faulty = isFaulty(instance);
      factor *= fault == Fault.SLOW_BY_3 && faulty ? 3 : 1;
      factor *= fault == Fault.SLOW_BY_10 && faulty ? 10 : 1;
      factor *= fault == Fault.ALL_SLOW_BY_3 ? 3 : 1;
    }
    Deadline cold = warmUpEnd.get(instance);
    factor *= cold != null && !cold.isReached(clock) ? 4 : 1;
    return Duration.ofNanos((long) (1e6 * median * factor * Math.exp(LOG_DEVIATION * gaussian)));
  }

  boolean hangs(InstanceId instance) {
    if (!isAfterOnset() || !isFaulty(instance)) {
      return false;
    }
    return switch (scenario.fault()) {
      case HANGS_FOR_ALL -> true;
      case HANGS_ONE_IN_FIVE -> random.nextInt(5) == 0;
      case FLAPS -> (int) (secondsSinceOnset() / 10) % 2 == 0;
      default -> false;
    };
  }

  boolean answersError(InstanceId instance) {
    return scenario.fault() == Fault.ANSWERS_ERRORS
        && isAfterOnset()
        && isFaulty(instance)
        && random.nextBoolean();
  }

  boolean losesAnswer(InstanceId instance, FailureDomain domain, int vm) {
    if (!isAfterOnset()) {
      return false;
    }
    return switch (scenario.fault()) {
      case ONE_WAY_LOSS -> isFaulty(instance) && vm % 2 == 0;
      case BAD_PATH_OF_ONE_VM -> vm == 0 && !domain.equals(domain(0));
      default -> false;
    };
  }

  /** Counts a run of an operation that must run at most once. */
  void recordOperationRun(String request) {
    if (operationRuns.merge(request, 1, Integer::sum) > 1) {
      result.duplicateOperationRuns++;
    }
  }
}
