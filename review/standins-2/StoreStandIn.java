import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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

/** A stand-in of the platform's store: items in pages, watches and a history. */
final class StoreStandIn implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final long HISTORY_NANOS = 20_000_000_000L;

  private static final class Event {
    final String key;
    final byte[] value;
    final long revision;
    final long nanos = System.nanoTime();

    Event(String key, byte[] value, long revision) {
      this.key = key;
      this.value = value;
      this.revision = revision;
    }

    String json() {
      return value == null
          ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
          : "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
              + "\",\"revision\":" + revision + ",\"created\":" + revision + ",\"lease\":0}";
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Event> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 100;
  private long droppedUpTo = 100;

  StoreStandIn(int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(Rig.HOST, port), 0);
    server.setExecutor(threads);
    server.createContext("/kumquatvane/kv-range", this::range);
    server.createContext("/kumquatvane/kv-watch", this::watch);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes an item; the return is the acknowledgement. */
  synchronized long put(String key, byte[] value) {
    Event event = new Event(key, value, ++revision);
    items.put(key, event);
    history.add(event);
    notifyAll();
    return revision;
  }

  long put(String key, String value) {
    return put(key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized void remove(String key) {
    items.remove(key);
    history.add(new Event(key, null, ++revision));
    notifyAll();
  }

  private void range(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String after = query.getOrDefault("after", "");
    StringBuilder body = new StringBuilder("{\"items\":[");
    synchronized (this) {
      int count = 0;
      int bytes = 0;
      boolean more = false;
      for (Event item : items.tailMap(after, after.isEmpty()).values()) {
        if (count == PAGE_ITEMS || (count > 0 && bytes + item.value.length > PAGE_BYTES)) {
          more = true;
          break;
        }
        body.append(count++ == 0 ? "" : ",").append(item.json());
        bytes += item.value.length;
      }
      body.append("],\"hasMore\":").append(more).append(",\"at\":").append(revision).append('}');
    }
    answer(exchange, 200, body.toString());
  }

  private void watch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    StringBuilder body = new StringBuilder("{\"events\":[");
    synchronized (this) {
      try {
        while (revision <= after && System.nanoTime() < end) {
          wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      while (!history.isEmpty() && System.nanoTime() - history.get(0).nanos > HISTORY_NANOS) {
        droppedUpTo = history.remove(0).revision;
      }
      if (after < droppedUpTo && after < revision) {
        body = null;
      } else {
        int count = 0;
        int bytes = 0;
        long at = revision;
        for (Event event : history) {
          if (event.revision > after) {
            int size = event.value == null ? 0 : event.value.length;
            if (count > 0 && bytes + size > PAGE_BYTES) {
              at = event.revision - 1;
              break;
            }
            body.append(count++ == 0 ? "" : ",").append(event.json());
            bytes += size;
          }
        }
        body.append("],\"at\":").append(at).append('}');
      }
    }
    answer(exchange, body == null ? 410 : 200, body == null ? "{}" : body.toString());
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&", -1)) {
      String[] pair = part.split("=", 2);
      values.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return values;
  }

  private static void answer(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
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
