import java.util.ArrayList;
import java.util.List;

/**
 * One machine at a time is partitioned from the store while a tenant with a limit is added. The
 * other two machines, which are in touch, have to keep to the tenant's limit.
 */
public final class StaleCoordinator {
  private static final int RATE = 5;
  private static final int BURST = 5;
  private static final double CUT_SECONDS = 5.5;
  private static final int PER_SECOND_AND_MACHINE = 40;

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, StaleCoordinator::run);
  }

  private static int run(Rig rig) throws Exception {
    TenantLoad load = new TenantLoad(rig);
    List<String> zones = List.of("waikato", "taranaki", "bay-plenty");
    List<Link> links = new ArrayList<>();
    for (String zone : zones) {
      load.addInstance("i-" + zone + "-1", zone);
      load.addInstance("i-" + zone + "-2", zone);
      Rig.Vm vm = rig.addVm("front-" + zone + "-1", zone);
      Link link = rig.add(new Link(rig, rig.store.port()));
      links.add(link);
      vm.storePort = link.port();
    }
    List<String> rows = new ArrayList<>(List.of(TenantLoad.row("tenant-first", 0, 0)));
    int version = 7;
    rig.store.put("op/config", TenantLoad.configuration(version, rows));
    rig.startAll();
    if (!rig.awaitReady(40)) {
      return 2;
    }
    Thread.sleep(6_000);
    boolean broken = false;
    for (int i = 0; i < links.size(); i++) {
      Link link = links.get(i);
      if (rig.trouble) {
        rig.note("cut from the store: " + rig.vms.get(i).name);
        link.setCut(true);
        Instance.thread(() -> healLater(rig, link));
      }
      String tenant = "tenant-added-" + (i + 1);
      rows.add(TenantLoad.row(tenant, RATE, BURST));
      rig.store.put("op/config", TenantLoad.configuration(++version, rows));
      rig.note("acknowledged version " + version + ": " + tenant + " with ratePerS=" + RATE
          + " burst=" + BURST);
      List<Rig.Vm> others = new ArrayList<>(rig.vms);
      others.remove(i);
      load.send(tenant, others, CUT_SECONDS + 1, PER_SECOND_AND_MACHINE);
      broken |= load.isExceeded(tenant, RATE, BURST);
      Thread.sleep(5_000);
    }
    return broken ? 1 : 0;
  }

  private static void healLater(Rig rig, Link link) {
    try {
      Thread.sleep((long) (CUT_SECONDS * 1_000));
      link.setCut(false);
      rig.note("healed");
    } catch (Exception e) {
      rig.note("not healed: " + e);
    }
  }
}
