import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: pages, watches and a history that can be discarded. */
final class Store implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final long HISTORY_NANOS = 20_000_000_000L;

  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision = 100;
  private long historyStart = 100;
  private boolean watchesHeld;
  private long cuts;

  private record Item(String value, long revision) {}

  private record Change(String key, String value, long revision, long nanos) {}

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.setExecutor(threads);
    server.createContext("/kumquatvane/kv-key", this::handleKey);
    server.createContext("/kumquatvane/kv-range", this::handleRange);
    server.createContext("/kumquatvane/kv-watch", this::handleWatch);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void put(String key, String value) {
    items.put(key, new Item(value, ++revision));
    history.add(new Change(key, value, revision, System.nanoTime()));
    notifyAll();
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      history.add(new Change(key, null, ++revision, System.nanoTime()));
      notifyAll();
    }
  }

  /** Watches hear nothing from now on, until {@link #discardHistory}. */
  synchronized void holdWatches() {
    watchesHeld = true;
  }

  /** Discards the history and cuts the watches that wait. */
  synchronized void discardHistory() {
    history.clear();
    historyStart = revision;
    watchesHeld = false;
    cuts++;
    notifyAll();
  }

  private void discardOldHistory() {
    while (!history.isEmpty() && System.nanoTime() - history.get(0).nanos() > HISTORY_NANOS) {
      historyStart = history.remove(0).revision();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String text = exchange.getRequestURI().getRawQuery();
    for (String part : (text == null ? "" : text).split("&", -1)) {
      String[] pair = part.split("=", 2);
      values.put(
          pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return values;
  }

  private void handleKey(HttpExchange exchange) throws IOException {
    String key = query(exchange).getOrDefault("key", "");
    String body = null;
    synchronized (this) {
      Item item = items.get(key);
      if (item != null) {
        String rendered = render(key, item);
        body = rendered.substring(0, rendered.length() - 1) + ",\"at\":" + revision + "}";
      }
    }
    respond(exchange, body == null ? 404 : 200, body == null ? "{}" : body);
  }

  private void handleRange(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String prefix = query.getOrDefault("pathPrefix", "");
    String after = query.getOrDefault("after", "");
    StringBuilder body = new StringBuilder("{\"items\":[");
    synchronized (this) {
      int count = 0;
      boolean hasMore = false;
      for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
        if (!entry.getKey().startsWith(prefix)) {
          continue;
        }
        String rendered = render(entry.getKey(), entry.getValue());
        if (count > 0 && (count == PAGE_ITEMS || body.length() + rendered.length() > PAGE_BYTES)) {
          hasMore = true;
          break;
        }
        body.append(count++ == 0 ? "" : ",").append(rendered);
      }
      body.append("],\"hasMore\":").append(hasMore).append(",\"at\":").append(revision).append('}');
    }
    respond(exchange, 200, body.toString());
  }

  private void handleWatch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String prefix = query.getOrDefault("pathPrefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    StringBuilder body = new StringBuilder();
    int status = 200;
    synchronized (this) {
      discardOldHistory();
      long cutsBefore = cuts;
      while (after >= historyStart && (watchesHeld || revision <= after) && cuts == cutsBefore) {
        long leftMillis = (end - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
          break;
        }
        try {
          wait(leftMillis);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      if (cuts != cutsBefore) {
        exchange.close();
        return;
      }
      if (after < historyStart) {
        status = 410;
        body.append("{}");
      } else {
        long at = watchesHeld ? after : revision;
        body.append("{\"events\":[");
        int count = 0;
        for (Change change : history) {
          if (change.revision() > after && change.revision() <= at
              && change.key().startsWith(prefix)) {
            body.append(count++ == 0 ? "" : ",").append(render(change));
          }
        }
        body.append("],\"at\":").append(at).append('}');
      }
    }
    respond(exchange, status, body.toString());
  }

  private static String render(Change change) {
    return change.value() == null
        ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision()
            + ",\"removed\":true}"
        : render(change.key(), new Item(change.value(), change.revision()));
  }

  private static String render(String key, Item item) {
    return "{\"key\":\"" + key + "\",\"value\":\""
        + Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8))
        + "\",\"revision\":" + item.revision() + ",\"created\":" + item.revision()
        + ",\"lease\":0}";
  }

  private static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
