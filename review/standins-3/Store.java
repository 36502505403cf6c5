import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's metadata store: items, pages, watches, and the return from a copy, as
 * the pages describe them.
 */
final class Store implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;

  private record Item(String key, byte[] value, long revision, long created) {}

  private record Event(String key, byte[] value, long revision, long created, boolean removed) {}

  /** A copy of the whole store. */
  static final class Copy {
    private final TreeMap<String, Item> items;
    private final List<Event> history;
    private final long revision;

    private Copy(TreeMap<String, Item> items, List<Event> history, long revision) {
      this.items = items;
      this.history = history;
      this.revision = revision;
    }
  }

  private final RunRecord record;
  private final int port;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private TreeMap<String, Item> items = new TreeMap<>();
  private List<Event> history = new ArrayList<>();
  private long revision = 1;
  private long era = 1;
  private ServerSocket server;
  private volatile boolean closed;

  Store(RunRecord record) throws IOException {
    this.record = record;
    server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    port = server.getLocalPort();
    accept(server);
  }

  int port() {
    return port;
  }

  synchronized long revision() {
    return revision;
  }

  synchronized long put(String key, String value) {
    revision++;
    Item known = items.get(key);
    long created = known == null ? revision : known.created();
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    items.put(key, new Item(key, bytes, revision, created));
    history.add(new Event(key, bytes, revision, created, false));
    notifyAll();
    record.line("store: put " + key + " revision=" + revision + " era=" + era);
    return revision;
  }

  synchronized long remove(String key) {
    if (items.remove(key) == null) {
      return revision;
    }
    revision++;
    history.add(new Event(key, null, revision, 0, true));
    notifyAll();
    record.line("store: remove " + key + " revision=" + revision + " era=" + era);
    return revision;
  }

  synchronized Copy copy() {
    record.line("store: copy taken at revision=" + revision);
    return new Copy(new TreeMap<>(items), new ArrayList<>(history), revision);
  }

  /** Goes away: resets all connections and refuses new ones. */
  void goAway() throws IOException {
    record.line("store: away");
    server.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Comes back, from a copy if one is given. */
  void comeBack(Copy from) throws IOException {
    synchronized (this) {
      if (from != null) {
        items = new TreeMap<>(from.items);
        history = new ArrayList<>(from.history);
        revision = from.revision;
        era++;
      }
      notifyAll();
    }
    ServerSocket reopened = new ServerSocket();
    reopened.setReuseAddress(true);
    reopened.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
    server = reopened;
    accept(reopened);
    record.line("store: back revision=" + revision + " era=" + era);
  }

  private void accept(ServerSocket listening) {
    daemon(
        () -> {
          while (!listening.isClosed()) {
            try {
              Socket socket = listening.accept();
              open.add(socket);
              daemon(() -> serve(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message request;
      while ((request = Http.readHead(in)) != null) {
        Http.readRequestBody(in, request);
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String answer;
        int status = 200;
        if (target[0].equals("/kumquatvane/kv-range")) {
          answer = range(query);
        } else if (target[0].equals("/kumquatvane/kv-watch")) {
          answer = watch(query);
          status = answer == null ? 410 : 200;
        } else if (target[0].equals("/kumquatvane/kv-key")) {
          answer = key(query);
          status = answer == null ? 404 : 200;
        } else {
          answer = null;
          status = 404;
        }
        byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
        boolean closes = "close".equalsIgnoreCase(request.header("connection"));
        long currentEra;
        synchronized (this) {
          currentEra = era;
        }
        String head =
            "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\nStore-Era: " + currentEra + "\r\n"
                + (closes ? "Connection: close\r\n" : "") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        if (closes) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side has closed the connection, or the store is away.
    } finally {
      open.remove(socket);
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text.split("&")) {
      String[] pair = part.split("=", 2);
      values.put(
          pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
    }
    return values;
  }

  private synchronized String key(Map<String, String> query) {
    Item item = items.get(query.get("key"));
    if (item == null) {
      return null;
    }
    String json = json(item);
    return json.substring(0, json.length() - 1) + ",\"at\":" + revision + "}";
  }

  private synchronized String range(Map<String, String> query) {
    String prefix = query.getOrDefault("pathPrefix", "");
    String after = query.getOrDefault("after", "");
    StringBuilder page = new StringBuilder();
    int count = 0;
    boolean hasMore = false;
    for (Item item : items.values()) {
      if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
        continue;
      }
      if (count == PAGE_ITEMS) {
        hasMore = true;
        break;
      }
      page.append(count++ == 0 ? "" : ",").append(json(item));
    }
    return "{\"items\":[" + page + "],\"hasMore\":" + hasMore + ",\"at\":" + revision + "}";
  }

  private synchronized String watch(Map<String, String> query) {
    String prefix = query.getOrDefault("pathPrefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long end =
        System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    long startEra = era;
    while (true) {
      if (after > revision || era != startEra) {
        return null;
      }
      StringBuilder events = new StringBuilder();
      int count = 0;
      for (Event event : history) {
        if (event.revision() > after && event.key().startsWith(prefix)) {
          events.append(count++ == 0 ? "" : ",").append(json(event));
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (count > 0 || left <= 0) {
        return "{\"events\":[" + events + "],\"at\":" + revision + "}";
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return null;
      }
    }
  }

  private static String json(Item item) {
    return "{\"key\":\"" + item.key() + "\",\"value\":\""
        + Base64.getEncoder().encodeToString(item.value()) + "\",\"revision\":" + item.revision()
        + ",\"created\":" + item.created() + ",\"lease\":0}";
  }

  private static String json(Event event) {
    return event.removed()
        ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
            + ",\"removed\":true}"
        : json(new Item(event.key(), event.value(), event.revision(), event.created()));
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
