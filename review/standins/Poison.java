import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Four requests crash each instance that begins to run them, and come again at any VM. */
final class Poison {
  private static final int INSTANCES = 16;
  private static final int POISONS = 4;
  private static final long DOWN_MILLIS = 3_000;
  private static final long PAUSE_MILLIS = 1_500;
  private static final double SECONDS = 40;
  private static final double STABLE_SECONDS = 3;
  private static final int ALLOWED_RETRIES = 3;

  private Poison() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, Poison::run);
  }

  /** An instance that is back under a new id some seconds after a crash. */
  private static final class CrashingInstance {
    private final Harness harness;
    private final Record record;
    private final String name;
    private int boot;
    private Instance current;

    private CrashingInstance(Harness harness, Record record, String name) throws IOException {
      this.harness = harness;
      this.record = record;
      this.name = name;
      start();
    }

    private synchronized void start() throws IOException {
      String previous = current == null ? null : current.key();
      Instance started = new Instance(name + "-" + ++boot, "bookings", "a", 2, record);
      started.behaviour =
          (instance, request, connection) -> {
            if (!request.target().startsWith("/bookings/poison")) {
              return false;
            }
            record.run(request.header("x-request-id"), instance, request);
            record.add("crash instance=" + instance.id + " by " + request.target());
            instance.crash();
            Harness.daemon("restart", this::restart);
            throw new IOException("the instance has crashed");
          };
      current = started;
      harness.store.put(started.key(), started.entry("ready"));
      if (previous != null) {
        harness.store.remove(previous);
      }
    }

    private void restart() {
      Harness.sleep(DOWN_MILLIS);
      try {
        start();
      } catch (IOException e) {
        record.add("an instance could not start again: " + e.getMessage());
      }
    }
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    for (int i = 0; i < INSTANCES; i++) {
      new CrashingInstance(harness, record, "i-" + i);
    }
    harness.store.put(
        "op/config",
        new Configuration(7)
            .service("bookings")
            .route("r-lookups", "/lookups/", "safe", 2, "bookings", 2)
            .route("r-bookings", "/bookings/", "unsafe", 2, "bookings", 2)
            .tenant("tenant", 0, 0, "key")
            .render());
    if (!harness.startVms(3)) {
      return 2;
    }
    Harness.sleep(5_000);
    double end = record.now() + SECONDS;
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    for (int consumer = 0; consumer < 6; consumer++) {
      Random random = new Random(consumer);
      Harness.daemon(
          "consumer",
          () -> {
            while (record.now() < end) {
              Harness.Vm vm = harness.vms().get(random.nextInt(harness.vms().size()));
              String target = "/bookings/ordinary-" + random.nextInt();
              int status = Client.status(record, vm, "POST", target, "key");
              answers.merge("ordinary " + status, 1, Integer::sum);
              Harness.sleep(150);
            }
          });
    }
    List<List<String>> ids = new ArrayList<>();
    for (int poison = 0; poison < POISONS; poison++) {
      List<String> own = new CopyOnWriteArrayList<>();
      ids.add(own);
      String target = (trouble ? "/bookings/poison-" : "/bookings/harmless-") + poison;
      Random random = new Random(100 + poison);
      long delayMillis = 300L * poison;
      Harness.daemon(
          "poison",
          () -> {
            Harness.sleep(delayMillis);
            while (record.now() < end) {
              String id = Client.newId();
              own.add(id);
              Harness.Vm vm = harness.vms().get(random.nextInt(harness.vms().size()));
              int status = Client.status(record, vm, "POST", target, "key", id);
              answers.merge("repeated " + status, 1, Integer::sum);
              Harness.sleep(PAUSE_MILLIS);
            }
          });
    }
    while (record.now() < end + 1) {
      Harness.sleep(200);
    }
    record.add("answers: " + answers);
    boolean isBroken = false;
    for (int poison = 0; trouble && poison < POISONS; poison++) {
      List<String> own = ids.get(poison);
      List<Record.Run> runs =
          record.runs().stream().filter(run -> own.contains(run.requestId())).toList();
      double thirdCrash = runs.size() < 3 ? Double.MAX_VALUE : runs.get(2).at();
      long late =
          runs.stream()
              .filter(run -> run.at() > thirdCrash + STABLE_SECONDS)
              .map(Record.Run::requestId)
              .distinct()
              .count();
      record.add(
          "poison " + poison + ": sent=" + own.size() + " instances crashed=" + runs.size()
              + " retries that reached one over " + STABLE_SECONDS
              + " s after the third crash=" + late);
      isBroken |= late > ALLOWED_RETRIES;
    }
    if (answers.getOrDefault("ordinary 200", 0) == 0) {
      return 2;
    }
    return isBroken ? 1 : 0;
  }
}
