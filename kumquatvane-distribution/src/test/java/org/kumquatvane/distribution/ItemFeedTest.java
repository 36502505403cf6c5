package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/** Guards against stale or reverted items on a VM, and against too many calls to the source. */
class ItemFeedTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final SimulatedNetwork network =
      new SimulatedNetwork(clock, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(5L));
  private final RecordingCounters counters = new RecordingCounters();
  private final SimulatedSource source = new SimulatedSource(clock, scheduler);
  private final List<VmId> names = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private final Set<ItemsReport> completeReports =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private long largestReport;

  private void start(int vms) {
    source.put("config", "1");
    startWithoutWaiting(vms);
    scheduler.advance(Duration.ofSeconds(3));
  }

  private void startWithoutWaiting(int vms) {
    for (int i = 0; i < vms; i++) {
      names.add(new VmId("vm-" + i));
    }
    for (int i = 0; i < vms; i++) {
      VmId self = names.get(i);
      int rank = i;
      Replica replica = new Replica();
      ItemFeed feed =
          new ItemFeed(
              ItemFeedSettings.STANDARD,
              source.of(self),
              ItemRules.KEEP_ALL,
              () -> names.stream().filter(other -> !other.equals(self)).toList(),
              () -> rank,
              network.sender(self),
              replica::apply,
              clock,
              scheduler,
              counters,
              new DiscardingEventLog());
      PeerDispatcher dispatcher = new PeerDispatcher();
      feed.registerHandlers(dispatcher);
      network.connect(
          self,
          (from, message) -> {
            if (message instanceof ItemsReport report) {
              largestReport = Math.max(largestReport, size(report));
              if (report.complete()) {
                completeReports.add(report);
              }
            }
            dispatcher.dispatch(from, message);
          });
      replicas.add(replica);
      feed.start();
    }
  }

  private static long size(ItemsReport report) {
    return report.items().stream().mapToLong(SourceItem::sizeBytes).sum();
  }

  private void assertAllReplicas(Map<String, String> expected) {
    for (Replica replica : replicas) {
      assertEquals(expected, replica.values);
      assertEquals(0, replica.regressions);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 20})
  void changesReachAllVmsWithinLimit(int vms) {
    start(vms);
    source.put("config", "2");
    source.put("servers/i-1", "a");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2", "servers/i-1", "a"));
    source.remove("servers/i-1");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2"));
  }

  /** The first two VMs in reader order lose the source just before a change. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12})
  void lostReadersAreReplacedWithinLimit(int vms) {
    start(vms);
    source.cutOff.put(names.get(0), true);
    source.cutOff.put(names.get(1), true);
    source.put("config", "2");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2"));
  }

  /** Changes that cannot be decoded must not be requested again and again without end. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void unreadableChangesAreReplacedByReadOfAllItems(int vms) {
    start(vms);
    int readsBefore = source.reads;
    source.sendsUnreadableChanges = true;
    source.put("config", "2");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2"));
    source.put("config", "3");
    scheduler.advance(Duration.ofSeconds(20));
    assertAllReplicas(Map.of("config", "3"));
    assertTrue(source.reads - readsBefore <= 2 * 22 * vms, "reads: " + source.reads);
  }

  /** A source whose calls fail with an exception, or never end, must be called again later. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void followsSourceAgainAfterLostCalls(boolean throwsException) {
    start(1);
    source.throwsException = throwsException;
    source.neverResponds = !throwsException;
    source.put("config", "2");
    scheduler.advance(Duration.ofSeconds(8));
    source.throwsException = false;
    source.neverResponds = false;
    scheduler.advance(Duration.ofSeconds(7));
    assertAllReplicas(Map.of("config", "2"));
  }

  /** A listener that fails for one change must not stop the following of later changes. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void failedListenerDoesNotStopFeed(int kind) {
    start(2);
    replicas.get(0).failure =
        kind == 0 ? new IllegalStateException("defect") : new StackOverflowError();
    source.put("config", "2");
    advanceDespiteFailures(PROPAGATION_LIMIT);
    replicas.get(0).failure = null;
    source.put("config", "3");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "3"));
  }

  /** Advances as the worker pool does, which logs failures of tasks and goes on. */
  private void advanceDespiteFailures(Duration duration) {
    Deadline end = Deadline.after(clock, duration);
    while (!end.isReached(clock)) {
      try {
        scheduler.advance(Duration.ofNanos(Math.max(1, end.remainingNanos(clock))));
      } catch (IllegalStateException | StackOverflowError expected) {
        // The remaining tasks are run by the next call.
      }
    }
  }

  /** A VM without a connection to its peers must not keep stale items. */
  @Test
  void isolatedVmReadsSourceDirectly() {
    start(6);
    VmId isolated = names.get(5);
    for (VmId other : names) {
      network.setBlocked(other, isolated, true);
      network.setBlocked(isolated, other, true);
    }
    scheduler.advance(PROPAGATION_LIMIT);
    source.put("config", "2");
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2"));
  }

  @Test
  void droppedHistoryTriggersFullRead() {
    start(6);
    source.put("servers/i-1", "a");
    scheduler.advance(PROPAGATION_LIMIT);
    source.remove("servers/i-1");
    source.put("config", "3");
    source.oldestRevision = source.revision;
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "3"));
  }

  /**
   * A reader that reads all items in pages uses the early pages at once. The other VMs must get
   * what is on these pages too, also if the read fails between two pages and is repeated. They are
   * cut off from the source, so that no read of their own hides a lost change.
   */
  @ParameterizedTest
  @CsvSource({"2, 0", "6, 0", "6, 1", "6, 2"})
  void changesOnEarlyPagesReachAllVms(int vms, int failingReads) {
    source.put("servers/i-1", "a");
    start(vms);
    source.sendsPartialSnapshot = true;
    source.readsFailingAfterFirstPage = failingReads;
    source.put("config", "2");
    source.put("servers/i-1", "b");
    source.oldestRevision = source.revision;
    names.stream().skip(1).forEach(name -> source.cutOff.put(name, true));
    Duration readTime = Duration.ofMillis(1_300);
    scheduler.advance(PROPAGATION_LIMIT.plus(readTime.multipliedBy(failingReads)));
    assertAllReplicas(Map.of("config", "2", "servers/i-1", "b"));
  }

  @Test
  void startingVmWithoutSourceReadsFromPeers() {
    source.cutOff.put(new VmId("vm-4"), true);
    start(5);
    assertAllReplicas(Map.of("config", "1"));
  }

  @Test
  void lostReportsAreRecovered() {
    start(6);
    network.setFaults(0.4, 0.1);
    for (int i = 2; i < 30; i++) {
      source.put("config", String.valueOf(i));
      scheduler.advance(Duration.ofMillis(100));
    }
    network.setFaults(0, 0);
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "29"));
  }

  @Test
  void sourceRecoveryIsFlaggedAfterOutage() {
    start(4);
    source.put("servers/i-1", "a");
    scheduler.advance(PROPAGATION_LIMIT);
    names.forEach(name -> source.cutOff.put(name, true));
    scheduler.advance(Duration.ofSeconds(5));
    source.remove("servers/i-1");
    source.cutOff.clear();
    scheduler.advance(Duration.ofSeconds(3));
    assertAllReplicas(Map.of("config", "1"));
    replicas.forEach(replica -> assertTrue(replica.sawRecovery));
  }

  /** The limit applies to the calls of all VMs together. */
  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void callsToTheSourceDoNotGrowWithTheFleet(int vms) {
    start(vms);
    long before = counters.value("source.watches");
    scheduler.advance(Duration.ofSeconds(20));
    long calls = counters.value("source.watches") - before;
    assertTrue(calls <= 20 / 0.8 + 4, "calls: " + calls);
  }

  /** The first read of a VM does not contain the changes of the last seconds. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void changesMissingFromFirstReadAreRecovered(int vms) {
    source.put("servers/i-1", "a");
    source.freezeCheapReads();
    source.remove("servers/i-1");
    source.put("config", "2");
    start(vms);
    assertAllReplicas(Map.of("config", "1"));
  }

  /**
   * A restarted VM reads items that lag. It must not use a key that was withdrawn or an instance
   * that has left meanwhile, not even until the first watch responds, and not while the source is
   * away after that read.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void restartedVmNeverUsesWithdrawnItems(boolean losesSourceAfterRead) {
    source.put("servers/i-1", "a");
    source.put("config", "1");
    source.freezeCheapReads();
    source.remove("servers/i-1");
    source.put("config", "2");
    startWithoutWaiting(1);
    scheduler.advance(Duration.ofNanos(Duration.ofMillis(4).toNanos() - 1));
    source.cutOff.put(names.get(0), losesSourceAfterRead);
    scheduler.advance(Duration.ofSeconds(10));
    assertAllReplicas(losesSourceAfterRead ? Map.of() : Map.of("config", "2"));
    source.cutOff.put(names.get(0), false);
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "2"));
    assertEquals(Set.of("2"), replicas.get(0).usedValues);
  }

  /** Instances are replaced one after another, and each change would end a watch of each reader. */
  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void burstOfChangesTakesFewCalls(int vms) {
    start(vms);
    long before = counters.value("source.watches");
    for (int i = 0; i < 200; i++) {
      source.put("servers/i-" + i, "a");
      scheduler.advance(Duration.ofMillis(50));
    }
    long calls = counters.value("source.watches") - before;
    assertTrue(calls <= 10 / 0.2 + 4, "calls: " + calls);
  }

  /**
   * All VMs restart at the same time. A VM must not reject requests until it has read the last page
   * when the first page already holds the configuration.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 5})
  void firstPageIsUsedBeforeTheLastOneIsRead(int vms) {
    source.sendsPartialSnapshot = true;
    source.put("config", "1");
    source.put("servers/i-1", "a");
    startWithoutWaiting(vms);
    scheduler.advance(Duration.ofMillis(300));
    assertAllReplicas(Map.of("config", "1"));
    scheduler.advance(Duration.ofSeconds(3));
    assertAllReplicas(Map.of("config", "1", "servers/i-1", "a"));
  }

  /**
   * Many or large items must reach all VMs without a message that is too large for a frame or for
   * the memory of its receivers, also those VMs that missed the changes, and those that are cut off
   * from the source while all items still fit into a report.
   */
  @ParameterizedTest
  @CsvSource({
    "4, 500, 300, true",
    "12, 2000, 400, true",
    "3, 1, 1000000, true",
    "3, 30, 60000, false",
    "6, 4000, 1000, false"
  })
  void largeChangesAreSentInBoundedMessages(
      int vms, int items, int valueBytes, boolean fitsIntoReport) {
    start(vms);
    VmId last = names.get(vms - 1);
    source.cutOff.put(last, fitsIntoReport);
    network.setFaults(0.3, 0.1);
    Map<String, String> expected = new TreeMap<>(Map.of("config", "1"));
    for (int i = 0; i < items; i++) {
      String value = String.valueOf(i % 10).repeat(valueBytes);
      source.put("servers/i-" + i, value);
      expected.put("servers/i-" + i, value);
    }
    scheduler.advance(PROPAGATION_LIMIT);
    network.setFaults(0, 0);
    scheduler.advance(PROPAGATION_LIMIT);
    for (Replica replica : replicas) {
      // Compared without a message, which would hold all values.
      assertTrue(expected.equals(replica.values), "items: " + replica.values.size());
    }
    long largest = Math.max(128 << 10, valueBytes + 1_000);
    assertTrue(largestReport <= largest, "largest report: " + largestReport);
  }

  /** VMs that notice a gap together must not make one VM encode all items for each of them. */
  @Test
  void oneAnswerServesManyInquiries() {
    source.put("servers/i-1", "x".repeat(1_000));
    start(40);
    names.stream().skip(1).forEach(name -> network.setBlocked(names.get(0), name, true));
    source.put("config", "2");
    scheduler.advance(Duration.ofMillis(400));
    names.stream().skip(1).forEach(name -> network.setBlocked(names.get(0), name, false));
    source.put("config", "3");
    completeReports.clear();
    scheduler.advance(Duration.ofMillis(600));
    assertAllReplicas(Map.of("config", "3", "servers/i-1", "x".repeat(1_000)));
    assertTrue(completeReports.size() <= 2, "encoded sets: " + completeReports.size());
  }

  /** Items that cannot be used take no room and end the use of the value before. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100_000})
  void unusableItemsTakeNoRoom(int items) {
    source.put("servers/i-1", "a");
    start(2);
    for (int i = 1; i <= items; i++) {
      source.put("servers/i-" + i, "");
    }
    scheduler.advance(PROPAGATION_LIMIT);
    assertAllReplicas(Map.of("config", "1"));
    assertTrue(largestReport < 10_000, "largest report: " + largestReport);
  }
}
