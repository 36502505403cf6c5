import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback proxy between one machine and the store; while it is cut, no byte passes. */
final class Link implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Link(Rig rig, int target) throws IOException {
    this.target = target;
    server = new ServerSocket(rig.freePort(), 100, InetAddress.getByName(Rig.HOST));
    Instance.thread(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Cuts the link silently, or heals it; connections from before the cut are lost. */
  void setCut(boolean isCut) throws IOException {
    cut = isCut;
    if (!isCut) {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket near = server.accept();
        sockets.add(near);
        Instance.thread(() -> connect(near));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void connect(Socket near) {
    if (cut) {
      return;
    }
    try {
      Socket far = new Socket();
      far.connect(new InetSocketAddress(Rig.HOST, target), 1_000);
      sockets.add(far);
      Instance.thread(() -> copy(far, near));
      copy(near, far);
    } catch (IOException e) {
      close(near);
    }
  }

  private void copy(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[16_384];
      int length;
      while ((length = in.read(bytes)) >= 0) {
        if (cut) {
          return;
        }
        out.write(bytes, 0, length);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      if (!cut) {
        close(from);
        close(to);
      }
    }
  }

  private void close(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      close(socket);
    }
  }
}
