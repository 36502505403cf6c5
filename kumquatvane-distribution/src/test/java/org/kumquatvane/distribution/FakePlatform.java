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

/** Platform in logical time that can be away, stale or different for single VMs. */
final class FakePlatform {
  private static final Duration ANSWER_TIME = Duration.ofMillis(2);

  private final Clock clock;
  private final SimulatedScheduler scheduler;
  private final Map<String, ValueAnswer.Current> values = new HashMap<>();
  private final Map<VmId, Map<String, ValueAnswer.Current>> staleValues = new HashMap<>();
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
    values.put(name, new ValueAnswer.Current(++version, bytes));
    wakeWaiters();
  }

  void publish(VmList changed) {
    list = changed;
    wakeWaiters();
  }

  /** One VM keeps getting the values as they are now. */
  void freeze(VmId vm) {
    staleValues.put(vm, new HashMap<>(values));
  }

  /** One VM gets another value than the others. */
  void differ(VmId vm, String name, byte[] bytes) {
    Map<String, ValueAnswer.Current> own = new HashMap<>(values);
    own.put(name, new ValueAnswer.Current(++version, bytes));
    staleValues.put(vm, own);
    wakeWaiters();
  }

  void heal() {
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
      public void value(String name, SourceWatch watch, Consumer<ValueAnswer> answer) {
        count(vm);
        Deadline end = Deadline.after(clock, watch.longestWait());
        later(() -> answerValue(vm, name, watch, end, a -> process.run(() -> answer.accept(a))));
      }

      @Override
      public void vmList(SourceWatch watch, Consumer<VmListAnswer> answer) {
        count(vm);
        Deadline end = Deadline.after(clock, watch.longestWait());
        later(() -> answerList(vm, watch, end, a -> process.run(() -> answer.accept(a))));
      }
    };
  }

  private void count(VmId vm) {
    calls++;
    callers.add(vm);
  }

  private void later(Runnable task) {
    scheduler.schedule(Deadline.after(clock, ANSWER_TIME), task);
  }

  private void answerValue(
      VmId vm, String name, SourceWatch watch, Deadline end, Consumer<ValueAnswer> answer) {
    ValueAnswer.@Nullable Current value = staleValues.getOrDefault(vm, values).get(name);
    if (cutOff.contains(vm)) {
      answer.accept(new ValueAnswer.Unavailable("away"));
    } else if (value == null) {
      answer.accept(new ValueAnswer.Absent());
    } else if (watch.after().isEmpty() || watch.after().getAsLong() != value.version()) {
      answer.accept(value);
    } else if (end.isReached(clock)) {
      answer.accept(new ValueAnswer.Unchanged());
    } else {
      waitFor(end, () -> answerValue(vm, name, watch, end, answer));
    }
  }

  private void answerList(VmId vm, SourceWatch watch, Deadline end, Consumer<VmListAnswer> answer) {
    if (cutOff.contains(vm)) {
      answer.accept(new VmListAnswer.Unavailable("away"));
    } else if (watch.after().isEmpty() || watch.after().getAsLong() != list.version()) {
      answer.accept(new VmListAnswer.Current(list));
    } else if (end.isReached(clock)) {
      answer.accept(new VmListAnswer.Unchanged());
    } else {
      waitFor(end, () -> answerList(vm, watch, end, answer));
    }
  }

  private void waitFor(Deadline end, Runnable again) {
    boolean[] done = {false};
    Runnable once =
        () -> {
          if (!done[0]) {
            done[0] = true;
            again.run();
          }
        };
    waiters.add(once);
    scheduler.schedule(end, once);
  }
}
