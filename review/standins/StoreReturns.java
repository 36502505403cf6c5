import java.util.HashMap;
import java.util.Map;

/**
 * The store is down for some seconds, so that connections to it are reset. It is back, and stays
 * calm, for longer than a machine needs to be in touch; then a new configuration takes a key and a
 * route away.
 */
final class StoreReturns {
  private static final long DOWN_MILLIS = 4_500;
  private static final double CONFIG_APPLY_SECONDS = 2;
  private static final long STABLE_MILLIS = 3_000;

  private StoreReturns() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, StoreReturns::run);
  }

  private static Configuration base(int version) {
    return new Configuration(version)
        .service("lookups")
        .route("r-lookups", "/lookups/", "safe", 2, "lookups", 2);
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    for (int i = 0; i < 4; i++) {
      Instance instance = new Instance("i-" + i, "lookups", "a", 2, record);
      harness.store.put(instance.key(), instance.entry("ready"));
    }
    int rounds = 4;
    Link link = new Link(harness.store.address(), harness.freePort());
    harness.storeAddress = link.address();
    harness.store.put(
        "op/config",
        base(1)
            .route("r-dropped", "/dropped/", "safe", 2, "lookups", 2)
            .tenant("tenant", 0, 0, "key-kept", "key-withdrawn")
            .render());
    if (!harness.startVms(4)) {
      return 2;
    }
    Harness.sleep(5_000);
    int broken = 0;
    int served = 0;
    for (int round = 0; round < rounds; round++) {
      for (Harness.Vm vm : harness.vms()) {
        if (Client.status(record, vm, "GET", "/lookups/1", "key-withdrawn") != 200) {
          record.add("a VM does not serve before the disruption");
          return 2;
        }
      }
      if (trouble) {
        record.add("store down");
        link.refuse();
      }
      Harness.sleep(DOWN_MILLIS);
      if (trouble) {
        link.serve();
        record.add("store back");
      }
      Harness.sleep(STABLE_MILLIS);
      harness.store.put(
          "op/config", base(4 * round + 3).tenant("tenant", 0, 0, "key-kept").render());
      record.add("ack");
      double ack = record.now();
      Map<String, Double> lastOld = new HashMap<>();
      while (record.now() < ack + 7) {
        for (Harness.Vm vm : harness.vms()) {
          double sentAt = record.now();
          served += Client.status(record, vm, "GET", "/lookups/2", "key-kept") == 200 ? 1 : 0;
          boolean old =
              Client.status(record, vm, "GET", "/lookups/3", "key-withdrawn") == 200
                  | Client.status(record, vm, "GET", "/dropped/4", "key-kept") == 200;
          if (old) {
            lastOld.put(vm.name, sentAt - ack);
            broken += sentAt > ack + CONFIG_APPLY_SECONDS ? 1 : 0;
          }
        }
        Harness.sleep(100);
      }
      record.add("round " + round + ": last request served as the older version only, in s after "
          + "the ack: " + lastOld);
      harness.store.put(
          "op/config",
          base(4 * round + 5)
              .route("r-dropped", "/dropped/", "safe", 2, "lookups", 2)
              .tenant("tenant", 0, 0, "key-kept", "key-withdrawn")
              .render());
      Harness.sleep(4_000);
    }
    record.add("requests handled as only the older version allows, later than "
        + CONFIG_APPLY_SECONDS + " s after the ack: " + broken);
    return served == 0 ? 2 : broken > 0 ? 1 : 0;
  }
}
