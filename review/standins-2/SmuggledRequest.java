import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests whose body is the text of another request. The head of some says both a length and
 * chunks, or a transfer coding that does not end with chunks, so that a recipient that ends the
 * body early takes the text for a request of its own.
 */
public final class SmuggledRequest {
  private static final int ROUNDS = 5;

  private record Message(String name, String headerFields, String body) {}

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, SmuggledRequest::run);
  }

  private static int run(Rig rig) throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 4; i++) {
      Instance instance =
          rig.add(new Instance(rig, "i-" + i, "rota", i % 2 == 0 ? "waikato" : "taranaki", 3));
      instance.setHandler(
          (self, request, socket, out) -> {
            self.ran(request);
            ran.add(request.id());
            out.write(self.answer(request, "200 OK", "ran " + request.id()));
            out.flush();
            return true;
          });
      rig.store.put(instance.key(), instance.entry("ready"));
    }
    rig.store.put("op/config", Config.standard(7));
    rig.addVm("front-waikato-1", "waikato");
    rig.addVm("front-taranaki-1", "taranaki");
    rig.startAll();
    if (!rig.awaitReady(40)) {
      return 2;
    }
    Thread.sleep(4_000);
    int smuggled = 0;
    int outerRan = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (Rig.Vm vm : rig.vms) {
        String suffix = vm.name + "-" + round;
        for (Message message : messages(rig.trouble)) {
          String outer = "outer-" + message.name() + "-" + suffix;
          String inner = "inner-" + message.name() + "-" + suffix;
          send(rig, vm, outer, message, inner);
          outerRan += ran.contains(outer) ? 1 : 0;
          if (ran.contains(inner)) {
            smuggled++;
            rig.note("an instance ran " + inner + ", which no consumer sent as a request");
          }
        }
      }
    }
    rig.note(outerRan + " outer and " + smuggled + " inner requests ran");
    return smuggled > 0 ? 1 : rig.trouble || outerRan > 0 ? 0 : 2;
  }

  /** The body of each message contains the inner request; INNER stands for its id. */
  private static List<Message> messages(boolean trouble) {
    String inner =
        "POST /book/INNER HTTP/1.1\r\nHost: " + Config.SITE_HOST
            + "\r\nX-Request-Id: INNER\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token " + Config.KEY
            + "\r\nContent-Length: 0\r\n\r\n";
    List<Message> messages = new ArrayList<>();
    if (trouble) {
      messages.add(new Message("both", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + inner));
      messages.add(new Message("identity", "Transfer-Encoding: identity\r\n", inner));
      messages.add(new Message("last", "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" + inner));
    } else {
      messages.add(new Message("length", "Content-Length: LENGTH\r\n", inner));
      messages.add(new Message("chunks", "Transfer-Encoding: chunked\r\n", "CHUNK\r\n" + inner + "\r\n0\r\n\r\n"));
    }
    return messages;
  }

  private static void send(Rig rig, Rig.Vm vm, String outer, Message message, String innerId)
      throws Exception {
    String body = message.body().replace("INNER", innerId);
    int innerLength = body.length() - "CHUNK\r\n".length() - "\r\n0\r\n\r\n".length();
    body = body.replace("CHUNK", Integer.toHexString(innerLength));
    String head =
        Caller.head("POST", "/book/" + outer, Config.SITE_HOST, outer, 2_000, Config.KEY, -1)
            .replaceFirst(
                "\r\n\r\n",
                "\r\n" + message.headerFields().replace("LENGTH", Integer.toString(body.length()))
                    + "\r\n");
    rig.note("send " + outer + " with the text of " + innerId + " in its body of " + body.length() + " bytes");
    try (Caller caller = new Caller(vm.callerPort)) {
      Caller.Answer first = caller.send(head, body.getBytes(StandardCharsets.ISO_8859_1), 3_000);
      rig.note("answer " + outer + " " + first);
      Caller.Answer second = caller.read(500);
      if (second.status != 0) {
        rig.note("a second answer on the connection: " + second + " " + second.header("x-request-id"));
      }
    }
  }
}
