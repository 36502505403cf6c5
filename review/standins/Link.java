import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy for one TCP address that can refuse and reset its connections. */
final class Link implements AutoCloseable {
  private final String host;
  private final int port;
  private final int listenPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  Link(String address, int listenPort) throws IOException {
    int colon = address.lastIndexOf(':');
    host = address.substring(0, colon);
    port = Integer.parseInt(address.substring(colon + 1));
    this.listenPort = listenPort;
    listen();
  }

  String address() {
    return "127.0.0.1:" + listenPort;
  }

  private void listen() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), listenPort), 256);
    server = opened;
    Harness.daemon("link", () -> accept(opened));
  }

  private void accept(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket near = from.accept();
        sockets.add(near);
        near.setTcpNoDelay(true);
        Socket far = new Socket(host, port);
        far.setTcpNoDelay(true);
        sockets.add(far);
        Harness.daemon("link-out", () -> copy(near, far));
        Harness.daemon("link-back", () -> copy(far, near));
      } catch (IOException e) {
        // The next connection is tried, or the link is closed.
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 << 10];
    try {
      InputStream input = from.getInputStream();
      int count;
      while ((count = input.read(buffer)) >= 0) {
        to.getOutputStream().write(buffer, 0, count);
        to.getOutputStream().flush();
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
  }

  private void reset(Socket socket) {
    sockets.remove(socket);
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  /** Refuses new connections and resets all others, as an address without a listener does. */
  void refuse() throws IOException {
    server.close();
    sockets.forEach(this::reset);
  }

  /** Serves again after {@link #refuse}. */
  void serve() throws IOException {
    listen();
  }

  @Override
  public void close() throws IOException {
    refuse();
  }
}
