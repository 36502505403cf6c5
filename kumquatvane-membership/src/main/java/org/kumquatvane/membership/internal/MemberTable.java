package org.kumquatvane.membership.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.GossipSettings;
import org.kumquatvane.membership.Member;
import org.kumquatvane.membership.MemberReport;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmState;

/** Table of the other VMs learned through gossip. Guarded by the membership lock. */
public final class MemberTable {
  /** Maximum number of already announced local entries in a regular report; about 1 KB. */
  private static final int LOCAL_SAMPLE_SIZE = 20;

  /**
   * Maximum number of new entries in a report in addition to the samples, so that the members of a
   * fleet that starts all at once become known within seconds.
   */
  private static final int MAXIMUM_NEW_ENTRIES = 160;

  /** Number of reports in which this VM announces a new entry; other VMs propagate it further. */
  private static final int NEW_ENTRY_TRANSMISSIONS = 8;

  /**
   * Maximum number of sampled entries of other domains in a regular report; they may be less up to
   * date.
   */
  private static final int REMOTE_SAMPLE_SIZE = 10;

  /**
   * Multiple of the silence timeout for VMs of other domains, whose heartbeats arrive only
   * indirectly.
   */
  private static final int REMOTE_SILENCE_FACTOR = 3;

  /**
   * Maximum number of VMs of one report that are logged individually; at startup there are many.
   */
  private static final int MAXIMUM_INDIVIDUAL_EVENTS = 4;

  private final Vm self;
  private final GossipSettings settings;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final EventLog eventLog;
  private final Map<VmId, Entry> entries = new TreeMap<>();

  /** Result of {@link #liveVms}, which is requested many times a second. */
  private List<Vm> cachedLiveVms = List.of();

  /** Earliest time at which a cached live VM could be down; activity only makes it later. */
  private Deadline cacheValidUntil;

  private boolean cacheIsInvalid = true;
  private long liveVersion;
  private int possiblyRunning;

  private static final class Entry {
    private Member member;
    private Deadline downAt;
    private Deadline removedAt;
    private boolean reportedDown;
    private int remainingTransmissions = NEW_ENTRY_TRANSMISSIONS;

    private Entry(Member member, Deadline downAt, Deadline removedAt) {
      this.member = member;
      this.downAt = downAt;
      this.removedAt = removedAt;
    }
  }

  /**
   * Creates an empty table.
   *
   * @param self this VM, which is not an entry
   * @param settings times of the gossip protocol
   * @param clock clock for the deadlines
   * @param random seeded source of the samples
   * @param eventLog records changes of the fleet
   */
  public MemberTable(
      Vm self,
      GossipSettings settings,
      Clock clock,
      UniformRandomProvider random,
      EventLog eventLog) {
    this.self = self;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.eventLog = eventLog;
    cacheValidUntil = new Deadline(clock.monotonicNanos());
  }

  /**
   * Returns the failure domains of the other VMs.
   *
   * @return the domains, without that of this VM
   */
  public List<FailureDomain> otherDomains() {
    return entries.values().stream()
        .map(entry -> entry.member.vm().failureDomain())
        .filter(domain -> !domain.equals(self.failureDomain()))
        .distinct()
        .toList();
  }

  /**
   * Returns the other live VMs.
   *
   * @return the VMs
   */
  public List<Vm> liveVms() {
    if (cacheIsInvalid || cacheValidUntil.isReached(clock)) {
      updateCache();
    }
    return cachedLiveVms;
  }

  private void updateCache() {
    List<Vm> live = new ArrayList<>();
    Deadline validUntil = Deadline.after(clock, settings.silenceTimeout());
    int running = 0;
    for (Entry entry : entries.values()) {
      running += entry.member.vm().state() == VmState.LIVE ? 1 : 0;
      if (isLive(entry)) {
        live.add(entry.member.vm());
        validUntil = validUntil.earliest(entry.downAt);
      }
    }
    possiblyRunning = running;
    cacheValidUntil = validUntil;
    cacheIsInvalid = false;
    if (!live.equals(cachedLiveVms)) {
      cachedLiveVms = List.copyOf(live);
      liveVersion++;
    }
  }

  /**
   * Returns a number that changes whenever {@link #liveVms} returns another list.
   *
   * @return the version of the list
   */
  public long liveVersion() {
    liveVms();
    return liveVersion;
  }

  /**
   * Returns the other live VMs of a failure domain.
   *
   * @param domain the domain
   * @return the VMs
   */
  public List<Vm> liveVmsIn(FailureDomain domain) {
    return liveVms().stream().filter(vm -> vm.failureDomain().equals(domain)).toList();
  }

  private boolean isLive(Entry entry) {
    return !entry.downAt.isReached(clock) && entry.member.vm().state() == VmState.LIVE;
  }

  /**
   * Returns the entries of a regular report: the own entry, then new entries, then a random sample.
   *
   * @param own entry of this VM
   * @return the entries
   */
  public List<Member> reportEntries(Member own) {
    List<Member> members = new ArrayList<>();
    members.add(own);
    List<Member> local = new ArrayList<>();
    List<Member> remote = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.downAt.isReached(clock)) {
        continue;
      }
      if (entry.remainingTransmissions > 0 && members.size() < MAXIMUM_NEW_ENTRIES) {
        entry.remainingTransmissions--;
        members.add(entry.member);
      } else {
        (isLocal(entry.member.vm()) ? local : remote).add(entry.member);
      }
    }
    members.addAll(sample(local, LOCAL_SAMPLE_SIZE));
    members.addAll(sample(remote, REMOTE_SAMPLE_SIZE));
    return members;
  }

  /**
   * Returns all known entries, for a VM that may have just started.
   *
   * @param own entry of this VM
   * @return the entries
   */
  public List<Member> allEntries(Member own) {
    List<Member> members = new ArrayList<>();
    members.add(own);
    entries.values().stream()
        .filter(entry -> !entry.downAt.isReached(clock))
        .limit(MemberReport.MAXIMUM_ENTRIES - 1)
        .forEach(entry -> members.add(entry.member));
    return members;
  }

  private List<Member> sample(List<Member> members, int size) {
    return members.size() <= size ? members : ListSampler.sample(random, members, size);
  }

  private boolean isLocal(Vm vm) {
    return vm.failureDomain().equals(self.failureDomain());
  }

  /**
   * Merges the entries of a report.
   *
   * @param members entries of the report
   * @return whether the VMs that may be contacted have changed
   */
  public boolean merge(Collection<Member> members) {
    boolean changed = false;
    List<Member> joined = new ArrayList<>();
    for (Member member : members) {
      Vm vm = member.vm();
      if (vm.id().equals(self.id())) {
        continue;
      }
      Entry known = entries.get(vm.id());
      if (known == null) {
        entries.put(vm.id(), new Entry(member, downAt(vm), removedAt()));
        cacheIsInvalid = true;
        joined.add(member);
        changed = true;
      } else if (member.isNewerThan(known.member)) {
        changed |= known.member.vm().state() != vm.state() || known.reportedDown;
        cacheIsInvalid |= !known.member.vm().equals(vm);
        known.member = member;
        markAlive(known);
      }
    }
    logJoined(joined);
    return changed;
  }

  private void logJoined(List<Member> joined) {
    if (joined.size() > MAXIMUM_INDIVIDUAL_EVENTS) {
      eventLog.record(
          EventLog.Level.INFO,
          "vms_joined",
          LogField.of("count", joined.size()),
          LogField.of("known", entries.size()));
      return;
    }
    for (Member member : joined) {
      eventLog.record(
          EventLog.Level.INFO,
          "vm_joined",
          LogField.of("peer", member.vm().id()),
          LogField.of("failure_domain", member.vm().failureDomain()),
          LogField.of("incarnation", member.incarnation()));
    }
  }

  private void markAlive(Entry entry) {
    cacheIsInvalid |= entry.downAt.isReached(clock);
    entry.downAt = downAt(entry.member.vm());
    entry.removedAt = removedAt();
    entry.reportedDown = false;
  }

  private Deadline downAt(Vm vm) {
    return Deadline.after(clock, silenceTimeout(vm));
  }

  /**
   * An entry is removed only after all other VMs consider the VM down; otherwise their reports
   * would add it again.
   */
  private Deadline removedAt() {
    return Deadline.after(
        clock,
        settings.silenceTimeout().multipliedBy(REMOTE_SILENCE_FACTOR).plus(settings.retention()));
  }

  private Duration silenceTimeout(Vm vm) {
    return isLocal(vm)
        ? settings.silenceTimeout()
        : settings.silenceTimeout().multipliedBy(REMOTE_SILENCE_FACTOR);
  }

  /**
   * Marks VMs as down after the silence timeout and removes entries after the retention time.
   *
   * @return whether the VMs that may be contacted have changed
   */
  public boolean expire() {
    boolean changed = false;
    for (Entry entry : entries.values()) {
      if (!entry.reportedDown && entry.downAt.isReached(clock)) {
        entry.reportedDown = true;
        changed = true;
        eventLog.record(
            EventLog.Level.INFO,
            "vm_silent",
            LogField.of("peer", entry.member.vm().id()),
            LogField.of("silent_ms", silenceTimeout(entry.member.vm()).toMillis()));
      }
    }
    boolean removed = entries.values().removeIf(entry -> entry.removedAt.isReached(clock));
    cacheIsInvalid |= removed;
    return removed || changed;
  }

  /**
   * Records a message of any kind as evidence that its sender is alive.
   *
   * @param vm the sender
   */
  public void recordActivity(VmId vm) {
    @Nullable Entry entry = entries.get(vm);
    if (entry != null && !entry.reportedDown) {
      markAlive(entry);
    }
  }

  /**
   * Returns the VMs that may be contacted.
   *
   * @return VMs that are not marked as down
   */
  public List<Vm> reachableVms() {
    return entries.values().stream()
        .filter(entry -> !entry.reportedDown)
        .map(entry -> entry.member.vm())
        .toList();
  }

  /**
   * Returns the number of other VMs that may be running, including those that may be partitioned
   * from this VM.
   *
   * @return number of VMs in the table that have not announced their stop
   */
  public int possiblyRunning() {
    if (cacheIsInvalid) {
      updateCache();
    }
    return possiblyRunning;
  }
}
