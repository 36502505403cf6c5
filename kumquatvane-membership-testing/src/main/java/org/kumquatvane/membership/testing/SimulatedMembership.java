package org.kumquatvane.membership.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.FleetMembership;
import org.kumquatvane.membership.MembershipListener;
import org.kumquatvane.membership.Vm;

/** Membership of one simulated VM, controlled by {@link SimulatedFleet}. */
public final class SimulatedMembership implements FleetMembership {
  private final Vm self;
  private final SimulatedVmTime time;
  private final List<MembershipListener> listeners = new ArrayList<>();
  private List<Vm> listed = List.of();
  private @Nullable AgreedView view;

  SimulatedMembership(Vm self, SimulatedVmTime time) {
    this.self = self;
    this.time = time;
  }

  /**
   * Returns the clock and scheduler of this VM.
   *
   * @return its clock and scheduler
   */
  public SimulatedVmTime time() {
    return time;
  }

  @Override
  public Vm self() {
    return self;
  }

  @Override
  public Optional<AgreedView> agreedView() {
    return Optional.ofNullable(view).filter(held -> !held.validUntil().isReached(time));
  }

  @Override
  public List<Vm> listedVms() {
    return listed;
  }

  @Override
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  void setListedVms(List<Vm> vms) {
    listed = List.copyOf(vms);
  }

  void onDeparted(VmId vm) {
    listeners.forEach(listener -> listener.vmDeparted(vm));
  }

  /**
   * Notifies the listeners after the deferred tasks, as a process does that detects its own pause.
   */
  void onResumed() {
    listeners.forEach(MembershipListener::resumedAfterPause);
    expire();
  }

  void applyView(AgreedView next) {
    expire();
    AgreedView previous = view;
    view = next;
    if (previous == null || previous.digest() != next.digest()) {
      listeners.forEach(listener -> listener.viewAgreed(next));
    }
    time.schedule(new Deadline(next.validUntil().nanos()), this::expire);
  }

  private void expire() {
    if (view != null && view.validUntil().isReached(time)) {
      view = null;
      listeners.forEach(MembershipListener::viewLost);
    }
  }
}
