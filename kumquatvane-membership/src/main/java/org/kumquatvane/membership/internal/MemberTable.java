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

/** The other VMs that gossip told of. Guarded by the lock of the membership. */
public final class MemberTable {
  /** Entries in an ordinary report beside the sender's own; about 1 KB. */
  private static final int LOCAL_SAMPLE_SIZE = 20;

  /** New VMs in a report beyond the sample; a fleet that starts at once spreads within seconds. */
  private static final int MAXIMUM_NEW_ENTRIES = 160;

  /** Reports of this VM that name a new VM first; others tell it on. */
  private static final int NEW_ENTRY_TRANSMISSIONS = 8;

  /** Entries of other domains in an ordinary report; they need be known less exactly. */
  private static final int REMOTE_SAMPLE_SIZE = 10;

  /** VMs of other domains are heard of through others only, and so count as down later. */
  private static final int REMOTE_SILENCE_FACTOR = 3;

  /** VMs that are logged one by one when they are learnt of at once; at a start there are many. */
  private static final int MAXIMUM_INDIVIDUAL_EVENTS = 4;

  private final Vm self;
  private final GossipSettings settings;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final EventLog eventLog;
  private final Map<VmId, Entry> entries = new TreeMap<>();

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
   * @param settings times
   * @param clock clock of the deadlines
   * @param random seeded source of the samples
   * @param eventLog receives changes of the fleet
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
  }

  /**
   * Returns the failure domains of the other VMs.
   *
   * @return domains without the own one
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
    return entries.values().stream().filter(this::isLive).map(entry -> entry.member.vm()).toList();
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
   * Writes an ordinary report: the own entry, then VMs that few others may know yet, then a sample.
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
   * Writes a report of everything that is known, for a VM that may have just started.
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
   * Takes over what another VM reported.
   *
   * @param members entries of the report
   * @return whether the VMs that may be sent to have changed
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
        joined.add(member);
        changed = true;
      } else if (member.isNewerThan(known.member)) {
        changed |= known.member.vm().state() != vm.state() || known.reportedDown;
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
    entry.downAt = downAt(entry.member.vm());
    entry.removedAt = removedAt();
    entry.reportedDown = false;
  }

  private Deadline downAt(Vm vm) {
    return Deadline.after(clock, silenceTimeout(vm));
  }

  /** A VM is forgotten only after all others take it for down, or they would bring it back. */
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
   * Takes note of VMs that have been silent for too long and forgets those that were for long.
   *
   * @return whether the VMs that may be sent to have changed
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
    return entries.values().removeIf(entry -> entry.removedAt.isReached(clock)) || changed;
  }

  /**
   * Takes any message of a VM for a sign of life.
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
   * Returns the VMs that may be sent to.
   *
   * @return VMs that are not reported down
   */
  public List<Vm> reachableVms() {
    return entries.values().stream()
        .filter(entry -> !entry.reportedDown)
        .map(entry -> entry.member.vm())
        .toList();
  }

  /**
   * Returns how many other VMs may be running, cut off or not.
   *
   * @return VMs that did not say that they leave and are not forgotten
   */
  public int possiblyRunning() {
    return (int)
        entries.values().stream()
            .filter(entry -> entry.member.vm().state() == VmState.LIVE)
            .count();
  }
}
