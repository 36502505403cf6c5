import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
public final class TwoTerms {
  public static void main(String[] arguments) throws Exception {
    try (Rig rig = new Rig(Path.of("."), Path.of(arguments[0]).resolve("record.txt"))) {
      for (int i = 0; i < 6; i++) {
        Instance x = rig.add(new Instance(rig, "i-" + i, "rota", "a", 3));
        x.setHandler((in, r, s, out) -> { in.ran(r); Thread.sleep(800); out.write(in.answer(r, "200 OK", "ran " + r.id())); out.flush(); return true; });
        rig.store.put(x.key(), x.entry("ready"));
      }
      rig.store.put("op/config", Config.standard(7));
      rig.addVm("front-a-1", "a"); rig.startAll();
      if (!rig.awaitReady(30)) System.exit(2);
      Rig.Vm vm = rig.vms.get(0); AtomicInteger n = new AtomicInteger(); AtomicBoolean stop = new AtomicBoolean();
      Map<String, Integer> st = new ConcurrentSkipListMap<>();
      List<Thread> ts = new ArrayList<>();
      for (int c = 0; c < 10; c++) { Thread t = new Thread(() -> { try (Caller k = new Caller(vm.callerPort)) { while (!stop.get()) { String id = "e" + n.incrementAndGet(); Caller.Answer a = k.send(Caller.head("POST", "/book/" + id, Config.SITE_HOST, id, 5000, Config.KEY, 0), new byte[0], 6000); rig.note("answer " + id + " " + a); st.merge(a.toString(), 1, Integer::sum); if (!a.whole || a.header("connection").equals("close")) return; } } catch (Exception e) { st.merge("" + e, 1, Integer::sum); } }); t.start(); ts.add(t); }
      Thread.sleep(2000); rig.signal(vm, "TERM"); Thread.sleep(Integer.getInteger("between", 1300)); rig.signal(vm, "TERM"); vm.process.waitFor(8, TimeUnit.SECONDS);
      stop.set(true); for (Thread t : ts) t.join(6000);
      System.out.println(st + " exit " + vm.process.exitValue());
    }
  }
}
