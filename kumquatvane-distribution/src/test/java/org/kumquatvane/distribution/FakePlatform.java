package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.testing.SimulatedProcess;
import org.kumquatvane.testing.SimulatedScheduler;

/** Platform in simulated time that can be unavailable, stale or inconsistent for single VMs. */
final class FakePlatform {
  private static final Duration RESPONSE_DELAY = Duration.ofMillis(2);

  private final Clock clock;
  private final SimulatedScheduler scheduler;
  private final Map<String, ValueResponse.Current> values = new HashMap<>();
  private final Map<VmId, Map<String, ValueResponse.Current>> staleValues = new HashMap<>();
  private final List<Runnable> waiters = new ArrayList<>();
  final Set<VmId> cutOff = new HashSet<>();
  final Set<VmId> callers = new HashSet<>();
  private VmList list = new VmList(0, List.of(), List.of());
  private long version;
  long calls;

  FakePlatform(Clock clock, SimulatedScheduler scheduler) {
    this.clock = clock;
    this.scheduler = scheduler;
  }

  void publish(String name, byte[] bytes) {
    values.put(name, new ValueResponse.Current(++version, bytes));
    wakeWaiters();
  }

  void publish(VmList changed) {
    list = changed;
    wakeWaiters();
  }

  /** Returns the current values to one VM from now on, regardless of later changes. */
  void freezeValues(VmId vm) {
    staleValues.put(vm, new HashMap<>(values));
  }

  /** Returns a different value to one VM than to the others. */
  void overrideValue(VmId vm, String name, byte[] bytes) {
    Map<String, ValueResponse.Current> own = new HashMap<>(values);
    own.put(name, new ValueResponse.Current(++version, bytes));
    staleValues.put(vm, own);
    wakeWaiters();
  }

  void clearFaults() {
    staleValues.clear();
    cutOff.clear();
    wakeWaiters();
  }

  private void wakeWaiters() {
    List<Runnable> woken = new ArrayList<>(waiters);
    waiters.clear();
    woken.forEach(Runnable::run);
  }

  PlatformSource sourceOf(VmId vm, SimulatedProcess process) {
    return new PlatformSource() {
      @Override
      public void fetchValue(
          String name, WatchOptions options, Consumer<ValueResponse> onResponse) {
        recordCall(vm);
        Deadline end = Deadline.after(clock, options.maximumWait());
        scheduleResponse(
            () ->
                respondWithValue(
                    vm,
                    name,
                    options,
                    end,
                    response -> process.run(() -> onResponse.accept(response))));
      }

      @Override
      public void fetchVmList(WatchOptions options, Consumer<VmListResponse> onResponse) {
        recordCall(vm);
        Deadline end = Deadline.after(clock, options.maximumWait());
        scheduleResponse(
            () ->
                respondWithVmList(
                    vm, options, end, response -> process.run(() -> onResponse.accept(response))));
      }
    };
  }

  private void recordCall(VmId vm) {
    calls++;
    callers.add(vm);
  }

  private void scheduleResponse(Runnable task) {
    scheduler.schedule(Deadline.after(clock, RESPONSE_DELAY), task);
  }

  private void respondWithValue(
      VmId vm,
      String name,
      WatchOptions options,
      Deadline end,
      Consumer<ValueResponse> onResponse) {
    ValueResponse.@Nullable Current value = staleValues.getOrDefault(vm, values).get(name);
    if (cutOff.contains(vm)) {
      onResponse.accept(new ValueResponse.Unavailable("platform unavailable"));
    } else if (value == null) {
      onResponse.accept(new ValueResponse.Absent());
    } else if (options.after().isEmpty() || options.after().getAsLong() != value.version()) {
      onResponse.accept(value);
    } else if (end.isReached(clock)) {
      onResponse.accept(new ValueResponse.Unchanged());
    } else {
      waitFor(end, () -> respondWithValue(vm, name, options, end, onResponse));
    }
  }

  private void respondWithVmList(
      VmId vm, WatchOptions options, Deadline end, Consumer<VmListResponse> onResponse) {
    if (cutOff.contains(vm)) {
      onResponse.accept(new VmListResponse.Unavailable("platform unavailable"));
    } else if (options.after().isEmpty() || options.after().getAsLong() != list.version()) {
      onResponse.accept(new VmListResponse.Current(list));
    } else if (end.isReached(clock)) {
      onResponse.accept(new VmListResponse.Unchanged());
    } else {
      waitFor(end, () -> respondWithVmList(vm, options, end, onResponse));
    }
  }

  private void waitFor(Deadline end, Runnable retry) {
    boolean[] done = {false};
    Runnable once =
        () -> {
          if (!done[0]) {
            done[0] = true;
            retry.run();
          }
        };
    waiters.add(once);
    scheduler.schedule(end, once);
  }
}
