import java.util.ArrayList;
import java.util.List;

/**
 * The store discards its history just after a new configuration, so that the VM that watches for
 * its zone reads all items again, in two pages.
 */
final class RereadInPages {
  private static final int INSTANCES = 520;
  private static final double CONFIG_APPLY_SECONDS = 2;
  private static final double STABLE_SECONDS = 3;

  private RereadInPages() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, RereadInPages::run);
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      Instance instance = new Instance(String.format("i-%04d", i), "lookups", "a", 2, record);
      instances.add(instance);
      harness.store.put(instance.key(), instance.entry("ready"));
    }
    harness.store.put(
        "op/config",
        new Configuration(7)
            .service("lookups")
            .route("r-lookups", "/lookups/", "safe", 2, "lookups", 2)
            .route("r-dropped", "/dropped/", "safe", 2, "lookups", 2)
            .tenant("tenant", 0, 0, "key-kept", "key-withdrawn")
            .render());
    if (!harness.startVms(4)) {
      return 2;
    }
    Harness.sleep(6_000);
    for (Harness.Vm vm : harness.vms()) {
      if (Client.status(record, vm, "GET", "/lookups/1", "key-withdrawn") != 200
          || Client.status(record, vm, "GET", "/dropped/1", "key-kept") != 200) {
        record.add("a VM does not serve before the disruption");
        return 2;
      }
    }
    if (trouble) {
      record.add("store holds watches");
      harness.store.holdWatches();
    }
    harness.store.put(
        "op/config",
        new Configuration(12)
            .service("lookups")
            .route("r-lookups", "/lookups/", "safe", 2, "lookups", 2)
            .tenant("tenant", 0, 0, "key-kept")
            .render());
    record.add("ack version=0000000c");
    if (trouble) {
      Harness.sleep(1_000);
      record.add("store discards its history and cuts the watches");
      harness.store.discardHistory();
    }
    double judgedFrom = record.now() + STABLE_SECONDS + CONFIG_APPLY_SECONDS;
    List<String> broken = new ArrayList<>();
    int judged = 0;
    int served = 0;
    while (record.now() < judgedFrom + 15) {
      for (Harness.Vm vm : harness.vms()) {
        double sentAt = record.now();
        int kept = Client.status(record, vm, "GET", "/lookups/2", "key-kept");
        int withdrawn = Client.status(record, vm, "GET", "/lookups/3", "key-withdrawn");
        int dropped = Client.status(record, vm, "GET", "/dropped/4", "key-kept");
        if (sentAt < judgedFrom) {
          continue;
        }
        judged += 2;
        served += kept == 200 ? 1 : 0;
        if (withdrawn == 200) {
          broken.add(vm.name + " served a withdrawn key");
        }
        if (dropped == 200) {
          broken.add(vm.name + " served a dropped route");
        }
      }
      Harness.sleep(500);
    }
    record.add("judged=" + judged + " as older version only=" + broken.size() + " others served="
        + served);
    broken.stream().distinct().forEach(record::add);
    if (served == 0) {
      return 2;
    }
    return broken.isEmpty() ? 0 : 1;
  }
}
