package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.platform.trial.StoreStandIn;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against a second response of an instance, written late, from which a caller gets a success
 * although the instance that ran its request gave another status, or by which a VM takes an unsafe
 * request that runs for one that has not run.
 *
 * <p>{@code -Dsecond.seeds=1-40} or {@code 3,7} chooses the seeds, {@code -Dsecond.seconds} the
 * duration of each.
 */
class SecondResponseLoadTest {
  private static final String SEEDS = System.getProperty("second.seeds", "0-3");
  private static final int SECONDS = Integer.getInteger("second.seconds", 3);
  private static final Path RESULTS = Path.of("target", "second-response");

  /** Fewer would mean that the load did not reach the instances. */
  private static final int MINIMUM_SUCCESSES = 30;

  private static final int SHOWN_MISMATCHES = 5;

  /** A change of an instance while callers send requests. */
  private interface Change {
    void apply(RepeatingInstance instance, StoreStandIn store, Random random) throws Exception;
  }

  /** The processes of a run, and the faults of its instances. */
  private record Deployment(
      String name,
      int vms,
      int instances,
      int slots,
      int announcedSlots,
      int callers,
      RepeatingInstance.Faults faults) {
    private static final List<Deployment> WHOLE_SECONDS =
        List.of(
            new Deployment(
                "several-instances",
                3,
                5,
                6,
                8,
                30,
                new RepeatingInstance.Faults(12, 20, 4, 8, 0, 0)),
            new Deployment(
                "one-instance", 2, 1, 8, 12, 16, new RepeatingInstance.Faults(6, 40, 10, 6, 0, 0)),
            new Deployment(
                "one-vm", 1, 3, 8, 12, 40, new RepeatingInstance.Faults(10, 30, 5, 8, 0, 0)),
            new Deployment(
                "two-instances",
                1,
                2,
                6,
                12,
                24,
                new RepeatingInstance.Faults(3, 70, 25, 12, 0, 0)));

    private static final Deployment HEADS_CUT_AT_ONCE =
        new Deployment(
            "heads-cut-at-once",
            1,
            3,
            8,
            12,
            24,
            new RepeatingInstance.Faults(40, 40, 5, 40, 80, 0));

    private static final Deployment HEADS_CUT_LATE =
        new Deployment(
            "heads-cut-late", 1, 3, 8, 12, 24, new RepeatingInstance.Faults(40, 40, 5, 40, 0, 80));

    /** Few instances and many VMs, so that many refused requests return to an address. */
    private static final Deployment RETURNS =
        new Deployment(
            "returns", 4, 2, 40, 40, 48, new RepeatingInstance.Faults(10, 0, 40, 0, 0, 0));
  }

  static LongStream seeds() {
    List<Long> seeds = new ArrayList<>();
    for (String part : SEEDS.split(",", -1)) {
      String[] ends = part.split("-", -1);
      for (long seed = Long.parseLong(ends[0]);
          seed <= Long.parseLong(ends[ends.length - 1]);
          seed++) {
        seeds.add(seed);
      }
    }
    return seeds.stream().mapToLong(Long::longValue);
  }

  /** Unless seeds are chosen, one is enough: its faults meet most responses. */
  static LongStream seedsOfFrequentFaults() {
    return System.getProperty("second.seeds") == null ? LongStream.of(1) : seeds();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void wholeSecondResponseIsNotDelivered(long seed) throws Exception {
    run(seed, Deployment.WHOLE_SECONDS.get(Math.floorMod(seed, Deployment.WHOLE_SECONDS.size())));
  }

  /** The rest of a cut head and the next response must not form one response. */
  @ParameterizedTest
  @MethodSource("seedsOfFrequentFaults")
  void headCutOffAtOnceDoesNotChangeTheNextResponse(long seed) throws Exception {
    run(seed, Deployment.HEADS_CUT_AT_ONCE);
  }

  /** As above, but the cut head arrives while the next request waits. */
  @ParameterizedTest
  @MethodSource("seedsOfFrequentFaults")
  void headCutOffLateDoesNotChangeTheNextResponse(long seed) throws Exception {
    run(seed, Deployment.HEADS_CUT_LATE);
  }

  /** The copy of a refusal must not answer the next attempt of its request, which runs. */
  @ParameterizedTest
  @MethodSource("seedsOfFrequentFaults")
  void copyOfRefusalDoesNotRepeatRequestThatRuns(long seed) throws Exception {
    run(
        seed,
        Deployment.RETURNS,
        SecondResponseLoadTest::rename,
        (instance, store, random) -> instance.leaveAddress(random.nextInt(80)));
  }

  /** The store lists the earlier name for some time, as after a start that it has not noticed. */
  private static void rename(RepeatingInstance instance, StoreStandIn store, Random random)
      throws InterruptedException {
    String earlier = instance.rename(random.nextInt(Integer.MAX_VALUE));
    store.put("servers/" + instance.listedName(), instance.storeEntry("doubles"));
    Thread.sleep(random.nextInt(400));
    store.remove("servers/" + earlier);
  }

  private static Void changeInstances(
      List<RepeatingInstance> instances, StoreStandIn store, long seed, Change... changes)
      throws Exception {
    Random random = new Random(seed);
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    while (System.nanoTime() < endNanos) {
      Thread.sleep(random.nextInt(200));
      for (Change change : changes) {
        change.apply(instances.get(random.nextInt(instances.size())), store, random);
      }
    }
    return null;
  }

  private static void run(long seed, Deployment deployment, Change... changes) throws Exception {
    ResponseRecords records = new ResponseRecords();
    Queue<RecordingCaller.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    List<RepeatingInstance> instances = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(deployment.vms(), 1)) {
      try {
        for (int i = 0; i < deployment.instances(); i++) {
          String name = "double-" + i;
          RepeatingInstance instance =
              new RepeatingInstance(
                  name,
                  deployment.slots(),
                  deployment.announcedSlots(),
                  deployment.faults(),
                  records,
                  seed);
          instances.add(instance);
          fleet.store().put("servers/" + name, instance.storeEntry("doubles"));
        }
        publish(fleet);
        awaitRoutes(fleet, deployment, outcomes, seed);
        FutureTask<Void> changing =
            new FutureTask<>(() -> changeInstances(instances, fleet.store(), seed, changes));
        new Thread(changing, "instance-changes").start();
        sendRequests(fleet, deployment, outcomes, seed);
        changing.get();
        verify(fleet, deployment, records, outcomes, seed);
      } finally {
        for (RepeatingInstance instance : instances) {
          instance.close();
        }
      }
    }
  }

  private static void publish(PlatformFleet fleet) {
    fleet
        .store()
        .put(
            "op/config",
            """
            {"version":"00000100",
             "routes":{"columns":["name","hostname","pathPrefix","type","timeoutS",
                                  "targetLatencyS","priority","service","maxAttempts"],
              "rows":[["look-ups","127.0.0.1","/lookups/","safe",2,1,1,"sessions",2],
                      ["reads","127.0.0.1","/reads/","safe",2,1,1,"doubles",3],
                      ["writes","127.0.0.1","/writes/","unsafe",2,1,0,"doubles",3]]},
             "services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
              "rows":[["sessions","/healthz",330,"h1",false],
                      ["doubles","/healthz",2000,"h1",false]]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutS":3,
                       "idleTimeoutS":15},
             "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
              "rows":[["alpha",["%s"],null,0,0]]}}
            """
                .formatted(PlatformFleet.KEY));
  }

  private static void awaitRoutes(
      PlatformFleet fleet,
      Deployment deployment,
      Queue<RecordingCaller.Outcome> outcomes,
      long seed) {
    for (int i = 0; i < deployment.vms(); i++) {
      List<Integer> port = List.of(fleet.vm(i).callerPort());
      String prefix = "first-" + seed + "-" + i + "-";
      Conditions.await(
          "the VM serves the routes",
          () -> {
            new RecordingCaller(
                    port,
                    prefix + outcomes.size() + "-",
                    outcomes,
                    System.nanoTime() + 50_000_000,
                    1)
                .run();
            return outcomes.stream()
                .anyMatch(outcome -> outcome.id().startsWith(prefix) && outcome.status() == 200);
          },
          fleet.vm(i)::log);
    }
  }

  private static void sendRequests(
      PlatformFleet fleet,
      Deployment deployment,
      Queue<RecordingCaller.Outcome> outcomes,
      long seed)
      throws Exception {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < deployment.vms(); i++) {
      ports.add(fleet.vm(i).callerPort());
    }
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<?>> callers = new ArrayList<>();
    for (int i = 0; i < deployment.callers(); i++) {
      callers.add(
          threads.submit(
              new RecordingCaller(
                  ports, "s" + seed + "-c" + i + "-", outcomes, endNanos, seed * 1_000 + i)));
    }
    for (Future<?> caller : callers) {
      caller.get();
    }
    threads.shutdown();
    // Repeats that callers abandoned may still reach instances.
    Thread.sleep(500);
  }

  private static void verify(
      PlatformFleet fleet,
      Deployment deployment,
      ResponseRecords records,
      Queue<RecordingCaller.Outcome> outcomes,
      long seed)
      throws IOException {
    ResponseComparison comparison = new ResponseComparison(records);
    Map<Integer, Integer> statuses = new TreeMap<>();
    Map<String, Integer> kinds = new TreeMap<>();
    List<String> traces = new ArrayList<>();
    for (RecordingCaller.Outcome outcome : outcomes) {
      statuses.merge(outcome.status(), 1, Integer::sum);
      Optional<String> kind = comparison.mismatch(outcome);
      if (kind.isPresent()) {
        kinds.merge(kind.get(), 1, Integer::sum);
        traces.add(trace(kind.get(), outcome, records, fleet, deployment));
      }
    }
    String summary =
        "seed="
            + seed
            + " deployment="
            + deployment.name()
            + " requests="
            + outcomes.size()
            + " statuses="
            + statuses
            + " arrivals="
            + records.arrivalCount()
            + " seconds="
            + records.secondsWritten()
            + " repeatsOnConnection="
            + records.repeatsOnConnection()
            + " mismatches="
            + kinds;
    Files.createDirectories(RESULTS);
    Files.writeString(
        RESULTS.resolve("summary.txt"),
        summary + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
    if (!traces.isEmpty()) {
      Files.write(RESULTS.resolve(deployment.name() + "-seed-" + seed + ".txt"), traces);
    }
    assertEquals(
        Map.of(),
        kinds,
        () -> summary + "\n" + String.join("\n", traces.subList(0, shown(traces.size()))));
    // A copy of the first response can answer only a repeat on the same connection.
    assertEquals(0, records.repeatsOnConnection(), summary);
    assertTrue(
        statuses.getOrDefault(200, 0) >= MINIMUM_SUCCESSES && records.secondsWritten() > 0,
        summary);
  }

  private static int shown(int count) {
    return Math.min(count, SHOWN_MISMATCHES);
  }

  private static String trace(
      String kind,
      RecordingCaller.Outcome outcome,
      ResponseRecords records,
      PlatformFleet fleet,
      Deployment deployment) {
    StringBuilder trace = new StringBuilder(kind + "\n  caller: " + outcome + "\n");
    trace.append("  arrivals: ").append(records.trace(outcome.id())).append('\n');
    for (int i = 0; i < deployment.vms(); i++) {
      fleet
          .vm(i)
          .log()
          .lines()
          .filter(line -> line.contains(outcome.id() + " ") || line.endsWith(outcome.id()))
          .forEach(line -> trace.append("  log: ").append(line).append('\n'));
    }
    return trace.toString();
  }
}
