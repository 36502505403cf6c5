import java.util.HashMap;
import java.util.Map;

/**
 * The operator writes a large configuration several times in quick succession. The last version
 * takes a key and a route away.
 */
final class LargeConfigurations {
  private static final int ROUTES = 10_000;
  private static final long GAP_MILLIS = 60;
  private static final int VERSIONS = 25;
  private static final double CONFIG_APPLY_SECONDS = 2;

  private LargeConfigurations() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, LargeConfigurations::run);
  }

  private static Configuration base(int version) {
    Configuration configuration =
        new Configuration(version)
            .service("lookups")
            .route("r-lookups", "/lookups/", "safe", 2, "lookups", 2);
    for (int i = 0; i < ROUTES; i++) {
      configuration.route("r-" + i, "/p" + i + "/", "safe", 2, "lookups", 2);
    }
    return configuration;
  }

  private static String old(int version) {
    return base(version)
        .route("r-dropped", "/dropped/", "safe", 2, "lookups", 2)
        .tenant("tenant", 0, 0, "key-kept", "key-withdrawn")
        .render();
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    for (int i = 0; i < 4; i++) {
      Instance instance = new Instance("i-" + i, "lookups", "a", 2, record);
      harness.store.put(instance.key(), instance.entry("ready"));
    }
    harness.store.put("op/config", old(1));
    record.add("configuration of " + old(1).length() + " bytes");
    if (!harness.startVms(4)) {
      return 2;
    }
    Harness.sleep(8_000);
    for (Harness.Vm vm : harness.vms()) {
      if (Client.status(record, vm, "GET", "/lookups/1", "key-withdrawn") != 200) {
        record.add("a VM does not serve before the changes");
        return 2;
      }
    }
    for (int version = 2; trouble && version <= VERSIONS; version++) {
      harness.store.put("op/config", old(version));
      Harness.sleep(GAP_MILLIS);
    }
    harness.store.put(
        "op/config", base(VERSIONS + 1).tenant("tenant", 0, 0, "key-kept").render());
    double ack = record.now();
    record.add("ack of the last version");
    int broken = 0;
    int served = 0;
    Map<String, Double> lastOld = new HashMap<>();
    while (record.now() < ack + 30) {
      for (Harness.Vm vm : harness.vms()) {
        double sentAt = record.now();
        served += Client.status(record, vm, "GET", "/lookups/2", "key-kept") == 200 ? 1 : 0;
        boolean isOld =
            Client.status(record, vm, "GET", "/lookups/3", "key-withdrawn") == 200
                | Client.status(record, vm, "GET", "/dropped/4", "key-kept") == 200;
        if (isOld) {
          lastOld.put(vm.name, sentAt - ack);
          broken += sentAt > ack + CONFIG_APPLY_SECONDS ? 1 : 0;
        }
      }
      Harness.sleep(250);
    }
    record.add("last request served as the older version only, in s after the ack: " + lastOld);
    record.add("requests handled as only an older version allows, later than "
        + CONFIG_APPLY_SECONDS + " s after the ack: " + broken);
    return served == 0 ? 2 : broken > 0 ? 1 : 0;
  }
}
