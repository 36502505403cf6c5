import java.util.ArrayList;
import java.util.List;

/**
 * All processes are killed at the same moment; the machines that the settings name as seeds stay
 * down. The other machines together have to keep to a tenant's limit, which never changes.
 */
public final class LoneLeaders {
  private static final int RATE = 20;
  private static final int BURST = 20;
  private static final int SEEDS = 3;
  private static final int PER_SECOND_AND_MACHINE = 50;
  private static final double LOAD_SECONDS = 9;

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, LoneLeaders::run);
  }

  private static int run(Rig rig) throws Exception {
    TenantLoad load = new TenantLoad(rig);
    List<String> zones = List.of("waikato", "taranaki", "bay-plenty");
    for (int i = 0; i < 2 * SEEDS; i++) {
      String zone = zones.get(i % 3);
      load.addInstance("i-" + zone + "-" + (i / 3 + 1), zone);
      rig.addVm("front-" + zone + "-" + (i / 3 + 1), zone);
    }
    String tenant = "tenant-limited";
    rig.store.put(
        "op/config",
        TenantLoad.configuration(7, List.of(TenantLoad.row(tenant, RATE, BURST))));
    rig.startAll();
    if (!rig.awaitReady(40)) {
      return 2;
    }
    Thread.sleep(6_000);
    List<Rig.Vm> others = new ArrayList<>(rig.vms.subList(SEEDS, 2 * SEEDS));
    if (rig.trouble) {
      for (Rig.Vm vm : rig.vms) {
        vm.process.destroyForcibly();
      }
      rig.note("killed all processes");
      for (Rig.Vm vm : rig.vms) {
        vm.process.waitFor();
      }
      Thread.sleep(500);
      for (Rig.Vm vm : others) {
        rig.start(vm);
      }
      for (Rig.Vm vm : others) {
        for (int i = 0; i < 200 && !Rig.isReady(vm); i++) {
          Thread.sleep(50);
        }
      }
    }
    // Well past stableS, so that the machines are in touch again.
    Thread.sleep(6_000);
    load.send(tenant, others, LOAD_SECONDS, PER_SECOND_AND_MACHINE);
    return load.isExceeded(tenant, RATE, BURST) ? 1 : 0;
  }
}
