import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * All processes are killed at the same moment. The machines that the settings name as seeds are
 * lost, the others start again and find nobody. Counts the requests of a tenant that run at all of
 * them together; its allotment never changes.
 */
public final class LoneFleet {
  private static final int MACHINES = 12;
  private static final int SEEDS = 3;
  private static final int RATE = 20;
  private static final int BURST = 20;
  private static final double REQUESTS_PER_SECOND = 7.5 * RATE;
  private static final int LOAD_SECONDS = 12;
  private static final double QUOTA_WINDOW_SECONDS = 5;
  private static final double ALLOWED = (RATE * QUOTA_WINDOW_SECONDS + BURST) * 1.25 + 20;

  private LoneFleet() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    List<Vm> vms = new ArrayList<>();
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      record.line("trouble=" + trouble);
      code = run(Path.of(arguments[0]), record, vms, trouble);
      record.say(code == 1 ? "QUOTA broken" : code == 0 ? "QUOTA held" : "the case could not run");
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      vms.forEach(Vm::close);
    }
    System.exit(code);
  }

  private static int run(Path directory, RunRecord record, List<Vm> vms, boolean trouble)
      throws Exception {
    Files.createDirectories(directory);
    List<Instance> instances = new ArrayList<>();
    try (Store store = new Store(record)) {
      store.put("op/config", Config.of(1, List.of("key"), RATE, BURST));
      for (int i = 0; i < 12; i++) {
        Instance instance = new Instance(record, "i-rota" + i, "rota");
        instance.workMillis = 5;
        instances.add(instance);
        store.put(instance.key(), instance.entry("ready"));
      }
      for (int i = 0; i < MACHINES; i++) {
        vms.add(new Vm(directory, record, "front-" + (i + 1)));
      }
      List<Vm> seeds = vms.subList(0, SEEDS);
      List<Vm> others = vms.subList(SEEDS, MACHINES);
      for (Vm vm : vms) {
        vm.start(seeds, store.port());
      }
      for (Vm vm : vms) {
        if (!vm.awaitReady(40_000)) {
          return 2;
        }
      }
      Thread.sleep(5_000);
      if (trouble) {
        vms.forEach(Vm::kill);
        record.say("all processes are killed; the three seeds are lost");
        Thread.sleep(1_000);
        for (Vm vm : others) {
          vm.start(seeds, store.port());
        }
        for (Vm vm : others) {
          if (!vm.awaitReady(40_000)) {
            return 2;
          }
        }
      }
      // Twice stableS, so that all machines are in touch.
      Thread.sleep(6_000);
      Map<String, Integer> answers = new ConcurrentHashMap<>();
      List<Thread> threads = new ArrayList<>();
      long start = System.nanoTime();
      for (Vm vm : others) {
        Thread thread =
            new Thread(() -> send(vm, start, REQUESTS_PER_SECOND / others.size(), answers, record));
        thread.start();
        threads.add(thread);
      }
      for (Thread thread : threads) {
        thread.join();
      }
      record.say("answers: " + new TreeMap<>(answers));
      return mostInWindow(instances, record) > ALLOWED ? 1 : 0;
    }
  }

  /** Sends requests to a machine at a steady rate. */
  private static void send(
      Vm vm, long startNanos, double perSecond, Map<String, Integer> answers, RunRecord record) {
    for (int i = 0; i < perSecond * LOAD_SECONDS; i++) {
      try {
        long due = startNanos + (long) (i / perSecond * 1e9);
        TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
      } catch (InterruptedException e) {
        return;
      }
      Client.Answer answer =
          Client.request(vm.callerPort, "GET", "/look/" + i, null, 1_000, "key");
      record.line("client: at " + vm.name + " " + answer);
      answers.merge(vm.name + " " + answer.status(), 1, Integer::sum);
    }
  }

  private static int mostInWindow(List<Instance> instances, RunRecord record) throws IOException {
    double[] times =
        instances.stream()
            .flatMap(instance -> instance.runs.stream())
            .mapToDouble(Instance.Run::atSeconds)
            .sorted()
            .toArray();
    int most = 0;
    for (int first = 0, last = 0; last < times.length; last++) {
      while (times[last] - times[first] > QUOTA_WINDOW_SECONDS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    record.say("ran in " + QUOTA_WINDOW_SECONDS + " s: " + most + ", allowed " + ALLOWED);
    return most;
  }
}
