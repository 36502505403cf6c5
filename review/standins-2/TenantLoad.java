import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests of tenants, and the largest number of them that ran in a window. */
final class TenantLoad {
  static final double QUOTA_WINDOW_SECONDS = 5;
  static final double QUOTA_OVERAGE = 0.25;
  static final double QUOTA_SLACK = 20;

  private final Rig rig;
  private final Map<String, Queue<Long>> runs = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();

  TenantLoad(Rig rig) {
    this.rig = rig;
  }

  /** Returns an instance that records for which tenant it runs a request. */
  Instance addInstance(String id, String zone) throws IOException {
    Instance instance = rig.add(new Instance(rig, id, "rota", zone, 8));
    instance.setHandler(
        (self, request, socket, out) -> {
          self.ran(request);
          runs.computeIfAbsent(request.header("x-tenant-id"), key -> new ConcurrentLinkedQueue<>())
              .add(System.nanoTime());
          out.write(self.answer(request, "200 OK", "ran " + request.id()));
          out.flush();
          return true;
        });
    rig.store.put(instance.key(), instance.entry("ready"));
    return instance;
  }

  static String key(String tenant) {
    return "key-of-" + tenant;
  }

  /** A row of a configuration's tenants. */
  static String row(String tenant, int ratePerS, int burst) {
    return "[\"" + tenant + "\",[\"" + key(tenant) + "\"],1," + ratePerS + "," + burst + "]";
  }

  /** A configuration with the given rows of tenants. */
  static String configuration(int version, List<String> rows) {
    String text = Config.standard(version);
    int tenants = text.lastIndexOf("\"rows\":[");
    return text.substring(0, tenants) + "\"rows\":[" + String.join(",", rows) + "]}}";
  }

  /** Sends requests of a tenant to machines at the same time, and waits for the end. */
  void send(String tenant, List<Rig.Vm> vms, double seconds, int perSecondAndMachine)
      throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    List<Thread> threads = new ArrayList<>();
    for (Rig.Vm vm : vms) {
      Thread thread = new Thread(() -> sendUntil(end, tenant, vm, 1_000 / perSecondAndMachine));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void sendUntil(long end, String tenant, Rig.Vm vm, int pauseMillis) {
    while (System.nanoTime() < end) {
      String id = tenant + "-" + sent.incrementAndGet();
      try (Caller caller = new Caller(vm.callerPort)) {
        Caller.Answer answer =
            caller.send(
                Caller.head("GET", "/look/" + id, Config.SITE_HOST, id, 2_000, key(tenant), -1),
                new byte[0],
                3_000);
        rig.note("answer " + id + " from " + vm.name + ": " + answer);
      } catch (IOException e) {
        rig.note("no answer to " + id + " from " + vm.name + ": " + e.getMessage());
      }
      try {
        Thread.sleep(pauseMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns whether more requests of the tenant ran in a window than the rule allows. */
  boolean isExceeded(String tenant, int ratePerS, int burst) {
    long[] times =
        runs.getOrDefault(tenant, new ArrayDeque<>()).stream().mapToLong(time -> time).sorted()
            .toArray();
    int most = 0;
    for (int first = 0, last = 0; last < times.length; last++) {
      while (times[last] - times[first] > QUOTA_WINDOW_SECONDS * 1e9) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    double allowed =
        (ratePerS * QUOTA_WINDOW_SECONDS + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK;
    rig.note(
        tenant + ": " + most + " requests ran in " + QUOTA_WINDOW_SECONDS + " s, allowed " + allowed);
    return most > allowed;
  }
}
