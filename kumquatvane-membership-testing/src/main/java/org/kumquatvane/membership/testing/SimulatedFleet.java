package org.kumquatvane.membership.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.testing.SimulatedClock;
import org.kumquatvane.testing.SimulatedScheduler;

/**
 * Fleet of simulated VMs with safe agreed views. A view has more than half of the maximum VM count
 * as members, is renewed only while all its members run, and comes into force only after the
 * previous one has expired on every member.
 */
public final class SimulatedFleet {
  private static final Duration TICK = Duration.ofMillis(250);
  private static final long PROMISE_NANOS = 4_000_000_000L;
  private static final double MAXIMUM_DRIFT = 0.0005;

  private final SimulatedClock clock;
  private final SimulatedScheduler scheduler;
  private final UniformRandomProvider random;
  private final int maximumVmCount;
  private final Map<VmId, SimulatedMembership> vms = new TreeMap<>();
  private Set<VmId> requested = Set.of();
  private Set<VmId> current = Set.of();
  private long digest;
  private long lastValidNanos;
  private int created;

  /**
   * Creates an empty fleet.
   *
   * @param clock true time
   * @param scheduler runs tasks in true time
   * @param random seeded source of drift and of times within their bounds
   * @param maximumVmCount most VMs alive at once
   */
  public SimulatedFleet(
      SimulatedClock clock,
      SimulatedScheduler scheduler,
      UniformRandomProvider random,
      int maximumVmCount) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
    this.maximumVmCount = maximumVmCount;
    scheduler.schedule(Deadline.after(clock, TICK), this::tick);
  }

  /**
   * Starts a VM with a new name in one of three failure domains; it is not a member of any view.
   *
   * @return membership of the VM
   */
  public SimulatedMembership start() {
    if (alive().size() >= maximumVmCount) {
      throw new IllegalStateException("more VMs than maximumVmCount: " + maximumVmCount);
    }
    int number = created++;
    Vm vm =
        new Vm(
            new VmId("e" + number),
            new SocketEndpoint("127.0.0.1", 7000 + number),
            new FailureDomain(String.valueOf((char) ('a' + number % 3))),
            VmState.LIVE);
    double drift = (random.nextDouble() * 2 - 1) * MAXIMUM_DRIFT;
    SimulatedVmTime time =
        new SimulatedVmTime(
            clock, scheduler, drift, random.nextLong(1L << 40), random.nextLong(2000) - 1000);
    SimulatedMembership membership = new SimulatedMembership(vm, time);
    vms.put(vm.id(), membership);
    publishList();
    return membership;
  }

  /**
   * Terminates a VM without announcement.
   *
   * @param vm the VM
   */
  public void kill(VmId vm) {
    SimulatedMembership membership = vms.remove(vm);
    if (membership != null) {
      membership.time().kill();
      publishList();
    }
  }

  /**
   * Terminates a VM that has announced its stop.
   *
   * @param vm the VM
   */
  public void depart(VmId vm) {
    kill(vm);
    vms.values().forEach(other -> other.time().dispatch(() -> other.onDeparted(vm)));
  }

  /**
   * Pauses a VM.
   *
   * @param vm the VM
   */
  public void pause(VmId vm) {
    member(vm).time().pause();
  }

  /**
   * Resumes a paused VM; its deferred tasks run before it detects the pause.
   *
   * @param vm the VM
   */
  public void resume(VmId vm) {
    SimulatedMembership membership = vms.get(vm);
    if (membership != null && !membership.time().isRunning()) {
      membership.time().resume();
      membership.onResumed();
    }
  }

  /**
   * Requests a view; it comes into force after the previous one has expired on all members.
   *
   * @param members its members; no view comes into force with half of the maximum count or fewer
   */
  public void requestView(Set<VmId> members) {
    requested = new TreeSet<>(members);
  }

  /**
   * Returns the running and paused VMs.
   *
   * @return their names
   */
  public List<VmId> alive() {
    return new ArrayList<>(vms.keySet());
  }

  /**
   * Returns the membership of a VM.
   *
   * @param vm a VM that is alive
   * @return its membership
   */
  public SimulatedMembership member(VmId vm) {
    SimulatedMembership membership = vms.get(vm);
    if (membership == null) {
      throw new IllegalArgumentException("not alive: " + vm);
    }
    return membership;
  }

  /**
   * Returns the members of the view that is currently renewed.
   *
   * @return their names, empty without a view
   */
  public Set<VmId> current() {
    return current;
  }

  private void publishList() {
    List<Vm> list = vms.values().stream().map(SimulatedMembership::self).toList();
    vms.values().forEach(membership -> membership.setListedVms(list));
  }

  private void tick() {
    long now = clock.monotonicNanos();
    if (!requested.equals(current) && now > lastValidNanos) {
      boolean valid = requested.size() * 2 > maximumVmCount && allRun(requested);
      current = valid ? requested : Set.of();
      digest++;
    }
    if (requested.equals(current) && !current.isEmpty() && allRun(current)) {
      renew(now);
    }
    scheduler.schedule(Deadline.after(clock, TICK), this::tick);
  }

  private boolean allRun(Set<VmId> members) {
    return members.stream().allMatch(id -> vms.containsKey(id) && member(id).time().isRunning());
  }

  private void renew(long now) {
    List<Vm> members = current.stream().map(id -> member(id).self()).toList();
    for (VmId id : current) {
      long end = now + PROMISE_NANOS / 2 + random.nextLong(PROMISE_NANOS / 2);
      lastValidNanos = Math.max(lastValidNanos, end);
      SimulatedMembership membership = member(id);
      long delay = random.nextLong(TICK.toNanos() / 2);
      Deadline until = new Deadline(membership.time().localNanos(end));
      AgreedView view = new AgreedView(digest, members, until);
      scheduler.schedule(
          new Deadline(now + delay),
          () -> membership.time().dispatch(() -> membership.applyView(view)));
    }
  }
}
