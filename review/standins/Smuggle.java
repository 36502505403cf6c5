import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Consumers send requests whose bodies contain the text of another request. Their header field
 * Transfer-Encoding names a coding other than chunked.
 */
final class Smuggle {
  private static final int ROUNDS = 5;

  private Smuggle() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, Smuggle::run);
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    for (int i = 0; i < 4; i++) {
      Instance instance = new Instance("i-" + i, "bookings", "a", 2, record);
      harness.store.put(instance.key(), instance.entry("ready"));
    }
    harness.store.put(
        "op/config",
        new Configuration(7)
            .service("bookings")
            .route("r-bookings", "/bookings/", "unsafe", 2, "bookings", 2)
            .tenant("tenant", 0, 0, "key")
            .render());
    if (!harness.startVms(2)) {
      return 2;
    }
    Harness.sleep(3_000);
    String[] codings = {"gzip", "deflate", "identity"};
    List<String> hidden = new ArrayList<>();
    int answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (String coding : codings) {
        Harness.Vm vm = harness.vms().get(round % 2);
        String id = Client.newId();
        String hiddenId = Client.newId();
        hidden.add(hiddenId);
        String body =
            Client.head("POST", "/bookings/hidden", hiddenId, "key", 2_000)
                + "Content-Length: 0\r\n\r\n";
        String framing =
            trouble
                ? "Transfer-Encoding: " + coding + "\r\n"
                : "Content-Length: " + body.length() + "\r\n";
        record.add(
            "send id=" + id + " vm=" + vm.name + " POST /bookings/outer " + framing.trim()
                + " with the text of id=" + hiddenId + " in its body");
        try (Client client = new Client(vm.callerPort, 1_500)) {
          client.send(
              Client.head("POST", "/bookings/outer", id, "key", 2_000) + framing + "\r\n" + body);
          Message answer;
          while ((answer = client.receive()) != null) {
            answered++;
            record.add(
                "answer on the connection of id=" + id + " status=" + answer.status()
                    + " x-request-id=" + answer.header("x-request-id"));
          }
        } catch (IOException e) {
          record.add("end of the connection of id=" + id + ": " + e.getMessage());
        }
      }
    }
    long run =
        record.runs().stream()
            .map(Record.Run::requestId)
            .distinct()
            .filter(hidden::contains)
            .count();
    record.add("hidden requests that instances ran=" + run + " of " + hidden.size());
    return answered == 0 ? 2 : run > 0 ? 1 : 0;
  }
}
