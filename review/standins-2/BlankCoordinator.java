import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
public final class BlankCoordinator {
  public static void main(String[] arguments) throws Exception {
    try (Rig rig = new Rig(Path.of("."), Path.of(arguments[0]).resolve("record.txt"))) {
      Map<String, Queue<Long>> runs = new ConcurrentHashMap<>();
      for (int i = 0; i < 6; i++) {
        Instance x = rig.add(new Instance(rig, "i-" + i, "rota", "z" + i % 3, 8));
        x.setHandler((in, r, s, out) -> { in.ran(r); runs.computeIfAbsent(r.header("x-tenant-id"), k -> new ConcurrentLinkedQueue<>()).add(System.nanoTime()); out.write(in.answer(r, "200 OK", "ran " + r.id())); out.flush(); return true; });
        rig.store.put(x.key(), x.entry("ready"));
      }
      String tenants = "[\"tenant-a\",[\"" + Config.KEY + "\"],1,0,0]"; for (int i = 0; i < 3; i++) tenants += ",[\"tenant-" + i + "x\",[\"key-tenant-" + i + "x\"],1,5,5]"; int version = 7;
      rig.store.put("op/config", Config.standard(version).replaceFirst("\"rows\":\\[\\[\"tenant-a\".*$", "\"rows\":[" + tenants + "]}}"));
      List<Link> links = new ArrayList<>();
      for (int i = 0; i < 3; i++) { Rig.Vm vm = rig.addVm("front-z" + i + "-1", "z" + i); Link l = rig.add(new Link(rig, rig.store.port())); links.add(l); vm.storePort = l.port(); }
      rig.startAll();
      if (!rig.awaitReady(30)) System.exit(2);
      Thread.sleep(4000);
      AtomicInteger n = new AtomicInteger();
      for (int cutVm = 0; cutVm < 3; cutVm++) {
        if (rig.trouble) { links.get(cutVm).setCut(true); rig.note("cut " + cutVm); }
        Thread.sleep(200);
        String tenant = "tenant-" + cutVm + "x", key = "key-" + tenant;
if (rig.trouble) { rig.signal(rig.vms.get(cutVm), "KILL"); rig.vms.get(cutVm).process.waitFor(); Thread.sleep(500); rig.start(rig.vms.get(cutVm)); Thread.sleep(1000); }
        long end = System.nanoTime() + 7_000_000_000L; List<Thread> ts = new ArrayList<>(); Map<Integer, AtomicInteger> st = new ConcurrentSkipListMap<>();
        for (int c = 0; c < 2; c++) { Rig.Vm vm = rig.vms.get((cutVm + 1 + c) % 3); Thread t = new Thread(() -> { while (System.nanoTime() < end) { try (Caller k = new Caller(vm.callerPort)) { String id = "e" + n.incrementAndGet(); st.computeIfAbsent(k.send(Caller.head("GET", "/look/" + id, Config.SITE_HOST, id, 2000, key, -1), new byte[0], 2500).status, x -> new AtomicInteger()).incrementAndGet(); Thread.sleep(25); } catch (Exception e) { } } }); t.start(); ts.add(t); }
        Thread.sleep(5300); links.get(cutVm).setCut(false);
        for (Thread t : ts) t.join();
        long[] a = runs.getOrDefault(tenant, new ArrayDeque<>()).stream().mapToLong(x -> x).sorted().toArray(); int best = 0;
        for (int i = 0, j = 0; j < a.length; j++) { while (a[j] - a[i] > 5_000_000_000L) i++; best = Math.max(best, j - i + 1); }
        System.out.println("cut " + cutVm + " most in 5 s " + best + " allowed " + ((5 * 5 + 5) * 1.25 + 20) + " " + st);
        Thread.sleep(4000);
      }
    }
  }
}
