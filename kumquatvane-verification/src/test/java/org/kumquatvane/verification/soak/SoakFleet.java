package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.verification.platform.InstanceStandIn;
import org.kumquatvane.verification.platform.InstanceStandIn.Behaviour;
import org.kumquatvane.verification.platform.StoreStandIn;
import org.kumquatvane.verification.process.FaultProxy;

/** The processes of a run, the stand-ins around them, and what is done to them. */
final class SoakFleet implements AutoCloseable {
  /** Time that a killed or stopped process and its first connections need to come back. */
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final long INSTANCE_WORK_MILLIS = 20;
  private static final long DELAY_MILLIS = 120;

  private final StoreStandIn store = new StoreStandIn();
  private final Configurations configurations = new Configurations(store);
  private final Timeline timeline = new Timeline();
  private final List<SoakVm> vms = new ArrayList<>();
  private final List<InstanceStandIn> instances = new ArrayList<>();
  private final List<FaultProxy> instanceProxies = new ArrayList<>();
  private final List<Drain> drains = new ArrayList<>();
  private final ExecutorService disturbances = Executors.newCachedThreadPool();

  /** A time from the moment at which the store accepted that an instance is leaving. */
  record Drain(int instance, long fromNanos, long untilNanos) {}

  SoakFleet(SoakPlan plan, Path directory) throws IOException {
    Files.createDirectories(directory);
    for (int i = 0; i < plan.instances(); i++) {
      InstanceStandIn instance = new InstanceStandIn("i-" + i, "sessions", Exchanged::bodyFor);
      instance.setWorkMillis(INSTANCE_WORK_MILLIS);
      instances.add(instance);
      instanceProxies.add(new FaultProxy(instance.port()));
      list(i, "ready");
    }
    for (int i = 0; i < plan.vms(); i++) {
      vms.add(new SoakVm(i, directory, store.port()));
    }
    for (SoakVm vm : vms) {
      vm.start(seedPort());
    }
  }

  private int seedPort() {
    return vms.get(0).peers().port();
  }

  private void list(int instance, String state) {
    InstanceStandIn standIn = instances.get(instance);
    store.put(standIn.key(), standIn.entry(state, instanceProxies.get(instance).port()));
  }

  Configurations configurations() {
    return configurations;
  }

  Timeline timeline() {
    return timeline;
  }

  List<SoakVm> vms() {
    return vms;
  }

  List<InstanceStandIn> instances() {
    return instances;
  }

  synchronized List<Drain> drains() {
    return List.copyOf(drains);
  }

  /** Starts a disturbance; it ends by itself. */
  void disturb(Disturbance disturbance) {
    // Noted before it takes effect, so that no request in between counts as undisturbed.
    long now = System.nanoTime();
    long until = now + TimeUnit.MILLISECONDS.toNanos(disturbance.forMillis());
    noteSpan(disturbance, now, until + extraNanos(disturbance.kind()));
    disturbances.execute(
        () -> {
          long from = System.nanoTime();
          try {
            apply(disturbance);
          } catch (IOException e) {
            throw new IllegalStateException("cannot disturb: " + disturbance, e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          note(disturbance, from);
        });
  }

  private void note(Disturbance disturbance, long from) {
    noteSpan(disturbance, from, System.nanoTime() + extraNanos(disturbance.kind()));
  }

  private void noteSpan(Disturbance disturbance, long from, long until) {
    Disturbance.Kind kind = disturbance.kind();
    switch (kind.place()) {
      case FLEET -> timeline.addWhole(kind, Disturbance.Place.VM, from, until);
      case STORE -> timeline.addWhole(kind, Disturbance.Place.STORE, from, until);
      default -> timeline.add(kind, kind.place(), disturbance.index(), from, until);
    }
  }

  private static long extraNanos(Disturbance.Kind kind) {
    return switch (kind) {
      case KILL, STOP, ALL_KILLED -> START_NANOS;
      default -> 0;
    };
  }

  private void apply(Disturbance disturbance) throws IOException, InterruptedException {
    switch (disturbance.kind().place()) {
      case VM -> disturbVm(vms.get(disturbance.index()), disturbance);
      case INSTANCE -> disturbInstance(disturbance.index(), disturbance);
      case STORE -> {
        store.setAvailable(false);
        Thread.sleep(disturbance.forMillis());
        store.setAvailable(true);
      }
      case CONFIGURATION -> changeConfiguration(disturbance);
      case FLEET -> {
        for (SoakVm vm : vms) {
          vm.kill();
        }
        Thread.sleep(disturbance.forMillis());
        for (SoakVm vm : vms) {
          vm.start(seedPort());
        }
      }
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void disturbVm(SoakVm vm, Disturbance disturbance)
      throws IOException, InterruptedException {
    long millis = disturbance.forMillis();
    switch (disturbance.kind()) {
      case KILL -> {
        vm.kill();
        Thread.sleep(millis);
        vm.start(seedPort());
      }
      case PAUSE -> {
        vm.signal("STOP");
        Thread.sleep(millis);
        vm.signal("CONT");
      }
      case STOP -> {
        vm.signal("TERM");
        vm.awaitStop();
        Thread.sleep(millis);
        vm.start(seedPort());
      }
      case RELOAD -> vm.signal("HUP");
      case CALLERS_DELAYED -> delay(vm.callers(), millis);
      case CALLERS_RESET -> vm.callers().resetOpenConnections();
      case CALLERS_CUT_ONE_WAY -> cut(vm.callers(), false, true, millis);
      case STORE_PATH_CUT -> cut(vm.store(), true, true, millis);
      case STORE_PATH_CUT_ONE_WAY -> cut(vm.store(), false, true, millis);
      case STORE_PATH_SILENT -> vm.store().silenceOpenConnections();
      case PEERS_CUT -> cut(vm.peers(), true, false, millis);
      case PEERS_SILENT -> vm.peers().silenceOpenConnections();
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void disturbInstance(int index, Disturbance disturbance)
      throws IOException, InterruptedException {
    FaultProxy proxy = instanceProxies.get(index);
    long millis = disturbance.forMillis();
    switch (disturbance.kind()) {
      case INSTANCE_CUT_ONE_WAY -> cut(proxy, false, true, millis);
      case INSTANCE_SILENT -> proxy.silenceOpenConnections();
      case INSTANCE_RESET -> proxy.resetOpenConnections();
      case INSTANCE_DELAYED -> delay(proxy, millis);
      case INSTANCE_HANGS -> behave(index, Behaviour.HANGS, millis);
      case INSTANCE_SHEDS -> behave(index, Behaviour.SHEDS, millis);
      case INSTANCE_FAILS -> behave(index, Behaviour.FAILS_WITH_500, millis);
      case INSTANCE_CUTS_ANSWERS -> behave(index, Behaviour.CUTS_ANSWER, millis);
      case INSTANCE_LOSES_ANSWERS -> behave(index, Behaviour.LOSES_ANSWER, millis);
      case INSTANCE_DRAINS -> drain(index, millis);
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void drain(int index, long millis) throws InterruptedException {
    list(index, "draining");
    long from = System.nanoTime();
    Thread.sleep(millis);
    synchronized (this) {
      drains.add(new Drain(index, from, System.nanoTime()));
    }
    list(index, "ready");
  }

  private void behave(int index, Behaviour behaviour, long millis) throws InterruptedException {
    instances.get(index).set(behaviour);
    Thread.sleep(millis);
    instances.get(index).set(Behaviour.WELL);
  }

  private static void delay(FaultProxy proxy, long millis) throws InterruptedException {
    proxy.delay(DELAY_MILLIS);
    Thread.sleep(millis);
    proxy.delay(0);
  }

  private static void cut(FaultProxy proxy, boolean toTarget, boolean toCaller, long millis)
      throws InterruptedException {
    proxy.drop(toTarget, toCaller);
    Thread.sleep(millis);
    proxy.drop(false, false);
  }

  private void changeConfiguration(Disturbance disturbance) throws InterruptedException {
    if (disturbance.kind() == Disturbance.Kind.KEY_WITHDRAWN) {
      configurations.withdrawKey(disturbance.index());
      Thread.sleep(disturbance.forMillis());
      configurations.grantKey(disturbance.index());
    } else {
      configurations.setExtraRoute(false);
      Thread.sleep(disturbance.forMillis());
      configurations.setExtraRoute(true);
    }
  }

  /** Waits until all disturbances have ended. */
  void awaitCalm() throws InterruptedException {
    disturbances.shutdown();
    if (!disturbances.awaitTermination(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("a disturbance has not ended");
    }
  }

  @Override
  public void close() throws IOException {
    disturbances.shutdownNow();
    for (SoakVm vm : vms) {
      vm.close();
    }
    for (FaultProxy proxy : instanceProxies) {
      proxy.close();
    }
    instances.forEach(InstanceStandIn::close);
    store.close();
  }
}
