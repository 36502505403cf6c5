import java.io.*;
import java.nio.file.Path;
import java.util.*;
public final class SlowUpload {
  public static void main(String[] arguments) throws Exception {
    try (Rig rig = new Rig(Path.of("."), Path.of(arguments[0]).resolve("record.txt"))) {
      for (int i = 0; i < 4; i++) {
        Instance x = rig.add(new Instance(rig, "i-" + i, "rota", "a", 3));
        rig.store.put(x.key(), x.entry("ready"));
      }
      rig.store.put("op/config", Config.standard(7).replace("\"unsafe\",2.5,0.8", "\"unsafe\"," + System.getProperty("timeout", "2.5") + ",0.8"));
      rig.addVm("front-a-1", "a"); rig.startAll();
      if (!rig.awaitReady(30)) System.exit(2);
      Rig.Vm vm = rig.vms.get(0); int n = 0;
      for (int size : new int[] {200_000, 300_000, 1_000_000}) {
        Map<String, Integer> st = new TreeMap<>();
        for (int k = 0; k < 5; k++) {
          try (Caller c = new Caller(vm.callerPort)) {
            c.send(Caller.head("GET", "/look/" + n, Config.SITE_HOST, "g" + (n++), 2000, Config.KEY, -1), new byte[0], 2500);
            String id = "e" + (n++);
            c.write(Caller.head("POST", "/book/" + id, Config.SITE_HOST, id, 5000, Config.KEY, size).getBytes());
            byte[] body = new byte[size]; String w = ""; long t = System.nanoTime();
            try { for (int p = 0; p < size; p += size / 20) { c.write(Arrays.copyOfRange(body, p, Math.min(size, p + size / 20))); Thread.sleep(75); } } catch (IOException e) { w = " write:" + e.getMessage(); }
            Caller.Answer a = c.read(4500);
            st.merge(a.status + (a.whole ? "" : " cut " + a.failure) + w, 1, Integer::sum);
            System.out.println((System.nanoTime() - t) / 1e9);
          } catch (IOException e) { st.merge("ex " + e.getMessage(), 1, Integer::sum); }
        }
        System.out.println("size=" + size + " " + st);
      }
    }
  }
}
