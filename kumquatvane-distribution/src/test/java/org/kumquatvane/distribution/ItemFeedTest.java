package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/** Guards against VMs that keep old items, go back to older ones, or call the source too often. */
class ItemFeedTest {
  private static final Duration BOUND = Duration.ofSeconds(2);

  private final SimulatedClock clock = new SimulatedClock();
  private final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  private final SimulatedNetwork network =
      new SimulatedNetwork(clock, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(5L));
  private final RecordingCounters counters = new RecordingCounters();
  private final Source source = new Source();
  private final List<VmId> names = new ArrayList<>();
  private final List<Copy> copies = new ArrayList<>();

  /** A source with a history that tests can drop, and paths that tests can cut. */
  private final class Source {
    private final Map<String, SourceItem> items = new TreeMap<>();
    private final Map<VmId, Boolean> cut = new HashMap<>();
    private long revision = 1;
    private long historyFrom;
    private List<SourceItem> lagging = List.of();
    private long laggingRevision;
    private boolean partFirst;

    void put(String key, String value) {
      items.put(key, new SourceItem(key, Optional.of(bytes(value)), ++revision));
    }

    void remove(String key) {
      items.put(key, new SourceItem(key, Optional.empty(), ++revision));
    }

    ItemSource of(VmId vm) {
      return new ItemSource() {
        @Override
        public void readEverything(Freshness freshness, Consumer<SourceAnswer> answer) {
          boolean mayLag = freshness == Freshness.MAY_LAG && laggingRevision > 0;
          SourceAnswer items =
              mayLag ? new SourceAnswer.Everything(lagging, laggingRevision) : everything();
          if (partFirst) {
            later(vm, Duration.ofMillis(4), () -> answer.accept(part()), answer);
          }
          Duration delay = partFirst ? Duration.ofSeconds(1) : Duration.ofMillis(4);
          later(vm, delay, () -> answer.accept(items), answer);
        }

        @Override
        public void watch(long after, Duration wait, Consumer<SourceAnswer> answer) {
          poll(vm, after, Deadline.after(clock, wait), answer);
        }
      };
    }

    private void poll(VmId vm, long after, Deadline end, Consumer<SourceAnswer> answer) {
      later(
          vm,
          Duration.ofMillis(5),
          () -> {
            if (after < historyFrom) {
              answer.accept(new SourceAnswer.HistoryLost());
            } else if (revision > after || end.isReached(clock)) {
              answer.accept(
                  new SourceAnswer.Changes(
                      items.values().stream().filter(item -> item.revision() > after).toList(),
                      revision));
            } else {
              poll(vm, after, end, answer);
            }
          },
          answer);
    }

    /** From now on cheap reads lack later changes. */
    void lag() {
      lagging = items.values().stream().filter(item -> item.value().isPresent()).toList();
      laggingRevision = revision;
    }

    private SourceAnswer part() {
      return new SourceAnswer.Part(
          items.values().stream().filter(item -> item.value().isPresent()).limit(1).toList());
    }

    private SourceAnswer everything() {
      return new SourceAnswer.Everything(
          items.values().stream().filter(item -> item.value().isPresent()).toList(), revision);
    }

    private void later(VmId vm, Duration delay, Runnable action, Consumer<SourceAnswer> onFailure) {
      if (cut.getOrDefault(vm, false)) {
        scheduler.schedule(
            Deadline.after(clock, Duration.ofMillis(700)),
            () -> onFailure.accept(new SourceAnswer.Unavailable("timeout")));
      } else {
        scheduler.schedule(Deadline.after(clock, delay), action);
      }
    }
  }

  /** What one VM has applied. */
  private static final class Copy {
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private int backwards;
    private boolean sawReturn;

    private void apply(List<SourceItem> changed, boolean sourceReturned) {
      sawReturn |= sourceReturned;
      for (SourceItem item : changed) {
        Long before = revisions.put(item.key(), item.revision());
        backwards += before != null && before > item.revision() ? 1 : 0;
        if (item.value().isPresent()) {
          values.put(item.key(), new String(item.value().get(), StandardCharsets.UTF_8));
        } else {
          values.remove(item.key());
        }
      }
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

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
      Copy copy = new Copy();
      ItemFeed feed =
          new ItemFeed(
              ItemFeedSettings.STANDARD,
              source.of(self),
              () -> names.stream().filter(other -> !other.equals(self)).toList(),
              () -> rank,
              network.sender(self),
              copy::apply,
              clock,
              scheduler,
              counters,
              new DiscardingEventLog());
      PeerDispatcher dispatcher = new PeerDispatcher();
      feed.registerHandlers(dispatcher);
      network.connect(self, dispatcher::dispatch);
      copies.add(copy);
      feed.start();
    }
  }

  private void assertAll(Map<String, String> expected) {
    for (Copy copy : copies) {
      assertEquals(expected, copy.values);
      assertEquals(0, copy.backwards);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 20})
  void changesReachAllVmsWithinTheBound(int vms) {
    start(vms);
    source.put("config", "2");
    source.put("servers/i-1", "a");
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "2", "servers/i-1", "a"));
    source.remove("servers/i-1");
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "2"));
  }

  /** The two readers lose the source without noticing just before a change. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12})
  void lostReadersAreReplacedWithinTheBound(int vms) {
    start(vms);
    source.cut.put(names.get(0), true);
    source.cut.put(names.get(1), true);
    source.put("config", "2");
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "2"));
  }

  /** A VM that is cut off from its peers must not stay on old items. */
  @Test
  void vmWithoutPeersReadsForItself() {
    start(6);
    VmId lonely = names.get(5);
    for (VmId other : names) {
      network.setBlocked(other, lonely, true);
      network.setBlocked(lonely, other, true);
    }
    scheduler.advance(BOUND);
    source.put("config", "2");
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "2"));
  }

  @Test
  void droppedHistoryIsReadAgain() {
    start(6);
    source.put("servers/i-1", "a");
    scheduler.advance(BOUND);
    source.remove("servers/i-1");
    source.put("config", "3");
    source.historyFrom = source.revision;
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "3"));
  }

  @Test
  void vmThatStartsWithoutTheSourceAsksItsPeers() {
    source.cut.put(new VmId("vm-4"), true);
    start(5);
    assertAll(Map.of("config", "1"));
  }

  @Test
  void lostReportsAreMadeUpFor() {
    start(6);
    network.setFaults(0.4, 0.1);
    for (int i = 2; i < 30; i++) {
      source.put("config", String.valueOf(i));
      scheduler.advance(Duration.ofMillis(100));
    }
    network.setFaults(0, 0);
    scheduler.advance(BOUND);
    assertAll(Map.of("config", "29"));
  }

  @Test
  void entriesThatLapsedAreMarkedWhenTheSourceReturns() {
    start(4);
    source.put("servers/i-1", "a");
    scheduler.advance(BOUND);
    names.forEach(name -> source.cut.put(name, true));
    scheduler.advance(Duration.ofSeconds(5));
    source.remove("servers/i-1");
    source.cut.clear();
    scheduler.advance(Duration.ofSeconds(3));
    assertAll(Map.of("config", "1"));
    copies.forEach(copy -> assertTrue(copy.sawReturn));
  }

  /** Each call to the source is counted against all VMs together. */
  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void callsToTheSourceDoNotGrowWithTheFleet(int vms) {
    start(vms);
    long before = counters.value("source.watches");
    scheduler.advance(Duration.ofSeconds(20));
    long calls = counters.value("source.watches") - before;
    assertTrue(calls <= 20 / 0.8 + 4, "calls: " + calls);
  }

  /** A VM starts with a read that lacks the changes of the last seconds. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void changesThatTheFirstReadLacksAreMadeUpFor(int vms) {
    source.put("servers/i-1", "a");
    source.lag();
    source.remove("servers/i-1");
    source.put("config", "2");
    start(vms);
    assertAll(Map.of("config", "1"));
  }

  /** Pattern: instances are replaced in a row; each change would end a watch of each reader. */
  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void seriesOfChangesTakesFewCalls(int vms) {
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
   * Pattern: all VMs are lost and come back at once. Each refused its callers until it had read the
   * last page, although the first one holds the configuration.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 5})
  void firstPageIsUsedBeforeTheLastOneIsRead(int vms) {
    source.partFirst = true;
    source.put("config", "1");
    source.put("servers/i-1", "a");
    startWithoutWaiting(vms);
    scheduler.advance(Duration.ofMillis(300));
    assertAll(Map.of("config", "1"));
    scheduler.advance(Duration.ofSeconds(3));
    assertAll(Map.of("config", "1", "servers/i-1", "a"));
  }
}
