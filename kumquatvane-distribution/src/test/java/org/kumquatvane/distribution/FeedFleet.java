package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedNetwork;
import org.kumquatvane.testing.SimulatedScheduler;

/** Feeds of the VMs of one failure domain, which tests can restart and cut off. */
final class FeedFleet {
  final SimulatedClock clock = new SimulatedClock();
  final SimulatedScheduler scheduler = new SimulatedScheduler(clock);
  final SimulatedSource source = new SimulatedSource(clock, scheduler);
  final RecordingCounters counters = new RecordingCounters();
  final List<Replica> replicas = new ArrayList<>();
  private final SimulatedNetwork network =
      new SimulatedNetwork(clock, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(7L));
  private final List<VmId> names = new ArrayList<>();
  private final List<ItemFeed> feeds = new ArrayList<>();

  FeedFleet(int vms) {
    for (int i = 0; i < vms; i++) {
      names.add(new VmId("vm-" + i));
      replicas.add(new Replica());
      feeds.add(create(i));
    }
    feeds.forEach(ItemFeed::start);
  }

  private ItemFeed create(int rank) {
    VmId self = names.get(rank);
    Replica replica = new Replica();
    replicas.set(rank, replica);
    ItemFeed feed =
        new ItemFeed(
            ItemFeedSettings.STANDARD,
            source.of(self),
            new NumberedRules(),
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
    network.connect(self, dispatcher::dispatch);
    return feed;
  }

  void restart(int vm) {
    feeds.get(vm).close();
    feeds.set(vm, create(vm));
    feeds.get(vm).start();
  }

  void cutOffFromSource(int vm, boolean isCut) {
    source.cutOff.put(names.get(vm), isCut);
  }

  void cutOffFromPeers(int vm, boolean isCut) {
    VmId self = names.get(vm);
    for (VmId other : names) {
      network.setBlocked(self, other, isCut);
      network.setBlocked(other, self, isCut);
    }
  }

  void setSourceAway(boolean isAway) {
    for (int i = 0; i < names.size(); i++) {
      cutOffFromSource(i, isAway);
    }
  }

  ItemFeedStatus status(int vm) {
    return feeds.get(vm).status();
  }

  void advance(Duration duration) {
    scheduler.advance(duration);
  }
}
