import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The store is away for a moment and comes back from a copy that is some seconds old. Later the
 * operator takes a key away. Requests with it must not run once the new configuration has to be in
 * force.
 */
public final class StoreReturn {
  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final long STABLE_MILLIS = 3_000;

  private StoreReturn() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path directory = Path.of(arguments[0]);
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      record.line("trouble=" + trouble);
      code = run(directory, record, trouble);
      record.say(
          code == 1 ? "CONFIG broken" : code == 0 ? "CONFIG held" : "the case could not run");
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Path directory, RunRecord record, boolean trouble) throws Exception {
    Files.createDirectories(directory);
    try (Store store = new Store(record);
        Instance rota1 = new Instance(record, "i-rota1", "rota");
        Instance rota2 = new Instance(record, "i-rota2", "rota");
        Instance rota3 = new Instance(record, "i-rota3", "rota");
        Instance ledger = new Instance(record, "i-ledger1", "ledger");
        Vm first = new Vm(directory, record, "front-1");
        Vm second = new Vm(directory, record, "front-2")) {
      store.put("op/config", Config.of(1, List.of("key-kept", "key-dropped")));
      store.put(rota1.key(), rota1.entry("ready"));
      store.put(rota2.key(), rota2.entry("ready"));
      store.put(ledger.key(), ledger.entry("ready"));
      List<Vm> vms = List.of(first, second);
      for (Vm vm : vms) {
        vm.start(vms, store.port());
      }
      for (Vm vm : vms) {
        if (!vm.awaitReady(30_000)) {
          return 2;
        }
      }
      Thread.sleep(STABLE_MILLIS);
      if (!bothKeysWork(vms, record)) {
        return 2;
      }

      // A release goes on: one instance joins, another one drains and leaves. The copy is taken in
      // the midst of it, four seconds before the store goes away.
      Store.Copy copy = store.copy();
      store.put("op/config", Config.of(2, List.of("key-kept", "key-dropped"), route("added")));
      store.put(rota3.key(), rota3.entry("ready"));
      Thread.sleep(1_000);
      store.put(rota1.key(), rota1.entry("draining"));
      Thread.sleep(2_800);
      store.remove(rota1.key());
      store.put("op/config", Config.of(3, List.of("key-kept", "key-dropped"), route("added")));
      Thread.sleep(400);

      store.goAway();
      Thread.sleep(1_000);
      store.comeBack(trouble ? copy : null);
      // What the operator and the instances wrote is written again.
      store.put("op/config", Config.of(3, List.of("key-kept", "key-dropped"), route("added")));
      store.put(rota3.key(), rota3.entry("ready"));
      store.remove(rota1.key());
      Thread.sleep(STABLE_MILLIS + 2_000);
      if (!bothKeysWork(vms, record)) {
        return 2;
      }

      long revision = store.put("op/config", Config.of(4, List.of("key-kept"), route("added")));
      record.say("version 4 without key-dropped is acknowledged at revision " + revision);
      Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
      int ran = 0;
      Map<String, Integer> statuses = new TreeMap<>();
      for (int round = 0; round < 20; round++) {
        for (Vm vm : vms) {
          Client.Answer answer =
              Client.request(vm.callerPort, "POST", "/book/x", "a booking", 4_000, "key-dropped");
          record.line("client: key-dropped at " + vm.name + " " + answer);
          boolean hasRun =
              List.of(rota1, rota2, rota3).stream()
                  .flatMap(instance -> instance.runs.stream())
                  .anyMatch(run -> run.requestId().equals(answer.requestId()));
          ran += hasRun ? 1 : 0;
          statuses.merge(vm.name + " " + answer.status() + (hasRun ? " run" : ""), 1, Integer::sum);
        }
        Thread.sleep(500);
      }
      record.say("requests with the dropped key: " + statuses);
      for (Vm vm : vms) {
        record.line(
            "client: key-kept at " + vm.name + " "
                + Client.request(vm.callerPort, "GET", "/look/x", null, 4_000, "key-kept"));
      }
      return ran > 0 ? 1 : 0;
    }
  }

  private static String route(String name) {
    return "[\"r-" + name + "\",\"rota.example\",\"/" + name
        + "/\",\"safe\",2,0.8,2,\"rota\",2,false,null]";
  }

  private static boolean bothKeysWork(List<Vm> vms, RunRecord record) throws Exception {
    for (Vm vm : vms) {
      for (String key : List.of("key-kept", "key-dropped")) {
        Client.Answer answer =
            Client.request(vm.callerPort, "POST", "/book/x", "a booking", 4_000, key);
        record.line("client: " + key + " at " + vm.name + " " + answer);
        if (answer.status() != 200) {
          return false;
        }
      }
    }
    return true;
  }
}
