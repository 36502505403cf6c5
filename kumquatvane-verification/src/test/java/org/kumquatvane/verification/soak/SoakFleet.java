package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.platform.trial.InstanceStandIn;
import org.kumquatvane.platform.trial.InstanceStandIn.Behaviour;
import org.kumquatvane.platform.trial.StoreStandIn;
import org.kumquatvane.verification.process.FaultProxy;

/** The processes of a run and the stand-ins around them, with methods that disturb them. */
final class SoakFleet implements AutoCloseable {
  /** Time that a killed or stopped process needs to restart and to open its first connections. */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final long INSTANCE_WORK_MILLIS = 20;
  private static final long DELAY_MILLIS = 120;

  /** Time for which the store is away before it returns from a copy. */
  private static final long STORE_AWAY_MILLIS = 1_000;

  /** Writes of all items that a return loses, so that later ones stay below their revisions. */
  private static final int LOST_ROUNDS = 3;

  /** Time until the operator and the instances have written again what the copy lacks. */
  private static final long REWRITE_MILLIS = 300;

  /** Time that a return is expected to take; its real span is recorded afterwards. */
  private static final long STORE_RETURN_MILLIS = STORE_AWAY_MILLIS + 2 * REWRITE_MILLIS;

  private final StoreStandIn store = new StoreStandIn();
  private final PublishedConfigurations configurations = new PublishedConfigurations(store);
  private final DisturbanceTimeline timeline = new DisturbanceTimeline();
  private final List<SoakVm> vms = new ArrayList<>();
  private final List<InstanceStandIn> instances = new ArrayList<>();
  private final List<FaultProxy> instanceProxies = new ArrayList<>();
  private final InstanceDrains drains = new InstanceDrains(this::setInstanceState);
  private final ExecutorService disturbances = Executors.newCachedThreadPool();

  SoakFleet(SoakPlan plan, Path directory) throws IOException {
    Files.createDirectories(directory);
    for (int i = 0; i < plan.instances(); i++) {
      InstanceStandIn instance =
          new InstanceStandIn("i-" + i, "sessions", SoakRequest::responseBodyFor);
      instance.setWorkMillis(INSTANCE_WORK_MILLIS);
      instances.add(instance);
      instanceProxies.add(new FaultProxy(instance.port()));
      setInstanceState(i, "ready");
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

  private void setInstanceState(int instance, String state) {
    InstanceStandIn standIn = instances.get(instance);
    store.put(standIn.storeKey(), standIn.storeEntry(state, instanceProxies.get(instance).port()));
  }

  PublishedConfigurations configurations() {
    return configurations;
  }

  DisturbanceTimeline timeline() {
    return timeline;
  }

  List<SoakVm> vms() {
    return vms;
  }

  List<InstanceStandIn> instances() {
    return instances;
  }

  List<InstanceDrains.Drain> drains() {
    return drains.ended();
  }

  /** Starts a disturbance, which ends without a further call. */
  void startDisturbance(Disturbance disturbance) {
    if (disturbance.kind() == Disturbance.Kind.STORE_RETURNS) {
      disturbances.execute(() -> returnStore(disturbance));
      return;
    }
    // Recorded before it takes effect, so that no request in between counts as undisturbed.
    long now = System.nanoTime();
    long until = now + TimeUnit.MILLISECONDS.toNanos(disturbance.durationMillis());
    recordSpan(disturbance, now, until + recoveryNanos(disturbance.kind()));
    disturbances.execute(
        () -> {
          long from = System.nanoTime();
          try {
            apply(disturbance);
          } catch (IOException e) {
            throw new IllegalStateException("cannot apply disturbance: " + disturbance, e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          recordDisturbance(disturbance, from);
        });
  }

  /** Takes a copy now, to which the store returns when it has the age of the disturbance. */
  private void returnStore(Disturbance disturbance) {
    StoreStandIn.Copy copy = store.copy();
    for (int i = 0; i < LOST_ROUNDS; i++) {
      store.writeAllAgain();
    }
    try {
      Thread.sleep(disturbance.durationMillis());
      long from = System.nanoTime();
      recordSpan(disturbance, from, from + TimeUnit.MILLISECONDS.toNanos(STORE_RETURN_MILLIS));
      store.setAvailable(false);
      Thread.sleep(STORE_AWAY_MILLIS);
      store.returnTo(copy);
      store.setAvailable(true);
      Thread.sleep(REWRITE_MILLIS);
      store.rewriteLost();
      recordDisturbance(disturbance, from);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordDisturbance(Disturbance disturbance, long from) {
    recordSpan(disturbance, from, System.nanoTime() + recoveryNanos(disturbance.kind()));
  }

  private void recordSpan(Disturbance disturbance, long from, long until) {
    Disturbance.Kind kind = disturbance.kind();
    switch (kind.target()) {
      case FLEET -> timeline.addForAll(kind, Disturbance.Target.VM, from, until);
      case STORE -> timeline.addForAll(kind, Disturbance.Target.STORE, from, until);
      default -> timeline.add(kind, kind.target(), disturbance.index(), from, until);
    }
  }

  private static long recoveryNanos(Disturbance.Kind kind) {
    return switch (kind) {
      case KILL, STOP, ALL_KILLED -> RECOVERY_NANOS;
      default -> 0;
    };
  }

  private void apply(Disturbance disturbance) throws IOException, InterruptedException {
    switch (disturbance.kind().target()) {
      case VM -> disturbVm(vms.get(disturbance.index()), disturbance);
      case INSTANCE -> disturbInstance(disturbance.index(), disturbance);
      case STORE -> {
        store.setAvailable(false);
        Thread.sleep(disturbance.durationMillis());
        store.setAvailable(true);
      }
      case CONFIGURATION -> changeConfiguration(disturbance);
      case FLEET -> {
        for (SoakVm vm : vms) {
          vm.kill();
        }
        Thread.sleep(disturbance.durationMillis());
        for (SoakVm vm : vms) {
          vm.start(seedPort());
        }
      }
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void disturbVm(SoakVm vm, Disturbance disturbance)
      throws IOException, InterruptedException {
    long millis = disturbance.durationMillis();
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
        vm.awaitExit();
        Thread.sleep(millis);
        vm.start(seedPort());
      }
      case RELOAD -> vm.signal("HUP");
      case CALLERS_DELAYED -> delay(vm.callers(), millis);
      case CALLERS_RESET -> vm.callers().resetOpenConnections();
      case CALLERS_PARTITIONED_ONE_WAY -> partition(vm.callers(), false, true, millis);
      case STORE_PARTITIONED -> partition(vm.store(), true, true, millis);
      case STORE_PARTITIONED_ONE_WAY -> partition(vm.store(), false, true, millis);
      case STORE_CONNECTIONS_BLACKHOLED -> vm.store().blackholeOpenConnections();
      case PEERS_PARTITIONED -> partition(vm.peers(), true, false, millis);
      case PEER_CONNECTIONS_BLACKHOLED -> vm.peers().blackholeOpenConnections();
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void disturbInstance(int index, Disturbance disturbance)
      throws IOException, InterruptedException {
    FaultProxy proxy = instanceProxies.get(index);
    long millis = disturbance.durationMillis();
    switch (disturbance.kind()) {
      case INSTANCE_PARTITIONED_ONE_WAY -> partition(proxy, false, true, millis);
      case INSTANCE_CONNECTIONS_BLACKHOLED -> proxy.blackholeOpenConnections();
      case INSTANCE_RESET -> proxy.resetOpenConnections();
      case INSTANCE_DELAYED -> delay(proxy, millis);
      case INSTANCE_HANGS -> applyBehaviour(index, Behaviour.HANGS, millis);
      case INSTANCE_SHEDS -> applyBehaviour(index, Behaviour.SHEDS, millis);
      case INSTANCE_FAILS -> applyBehaviour(index, Behaviour.FAILS_WITH_500, millis);
      case INSTANCE_TRUNCATES_RESPONSES ->
          applyBehaviour(index, Behaviour.TRUNCATES_RESPONSE, millis);
      case INSTANCE_LOSES_RESPONSES -> applyBehaviour(index, Behaviour.LOSES_RESPONSE, millis);
      case INSTANCE_DRAINS -> drain(index, millis);
      default -> throw new IllegalArgumentException(disturbance.toString());
    }
  }

  private void drain(int index, long millis) throws InterruptedException {
    long from = drains.begin(index);
    Thread.sleep(millis);
    drains.end(index, from);
  }

  private void applyBehaviour(int index, Behaviour behaviour, long millis)
      throws InterruptedException {
    instances.get(index).setBehaviour(behaviour);
    Thread.sleep(millis);
    instances.get(index).setBehaviour(Behaviour.NORMAL);
  }

  private static void delay(FaultProxy proxy, long millis) throws InterruptedException {
    proxy.setDelay(DELAY_MILLIS);
    Thread.sleep(millis);
    proxy.setDelay(0);
  }

  private static void partition(FaultProxy proxy, boolean toTarget, boolean toCaller, long millis)
      throws InterruptedException {
    proxy.block(toTarget, toCaller);
    Thread.sleep(millis);
    proxy.block(false, false);
  }

  private void changeConfiguration(Disturbance disturbance) throws InterruptedException {
    if (disturbance.kind() == Disturbance.Kind.KEY_WITHDRAWN) {
      configurations.withdrawKey(disturbance.index());
      Thread.sleep(disturbance.durationMillis());
      configurations.grantKey(disturbance.index());
    } else {
      configurations.setExtraRoute(false);
      Thread.sleep(disturbance.durationMillis());
      configurations.setExtraRoute(true);
    }
  }

  /** Waits until all disturbances have ended. */
  void awaitDisturbances() throws InterruptedException {
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
