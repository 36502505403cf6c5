package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.peering.PeerNetworkSettings;
import org.kumquatvane.peering.codec.DecodeResult;
import org.kumquatvane.peering.codec.MessageRegistry;

/**
 * Connection on which another VM sends messages to this VM. The messages of one peer are handled in
 * the order of arrival, by one worker at a time.
 */
public final class IncomingPeer implements SelectableConnection {
  /** Maximum messages of one peer handled in one worker task, so that other tasks can run. */
  private static final int MAXIMUM_MESSAGES_PER_TASK = 32;

  private static final int ACKNOWLEDGEMENT_BODY_BYTES = 0;

  private final FrameChannel channel;
  private final SelectionKey key;
  private final PeerNetworkSettings settings;
  private final Handshake handshake;
  private final MessageRegistry registry;
  private final PeerDispatcher dispatcher;
  private final WorkerPool workers;
  private final EventLog eventLog;
  private final TrafficCounters traffic;
  private final Listener listener;
  private final Deadline handshakeDeadline;
  private final Clock clock;
  private final ByteBudget receiveBudget;
  private final Queue<ReceivedMessage> received = new ConcurrentLinkedQueue<>();
  private final AtomicInteger receivedCount = new AtomicInteger();

  private @Nullable Hello hello;
  private @Nullable Challenge challenge;
  private @Nullable VmId sender;
  private boolean acknowledgementDue;
  private Deadline nextAcknowledgement;
  private boolean closed;

  /**
   * Creates the peer of an accepted connection.
   *
   * @param socket the accepted socket
   * @param key selection key of the socket
   * @param context objects shared by all incoming connections
   * @param listener notified of authentication and closing
   */
  public IncomingPeer(
      SocketChannel socket, SelectionKey key, SharedContext context, Listener listener) {
    this.channel = new FrameChannel(socket, key, context.receiveBudget());
    this.receiveBudget = context.receiveBudget();
    this.key = key;
    this.settings = context.settings();
    this.handshake = context.handshake();
    this.registry = context.registry();
    this.dispatcher = context.dispatcher();
    this.workers = context.workers();
    this.eventLog = context.eventLog();
    this.traffic = context.traffic();
    this.clock = context.clock();
    this.listener = listener;
    this.handshakeDeadline = Deadline.after(clock, settings.handshakeTimeout());
    nextAcknowledgement = new Deadline(clock.monotonicNanos());
  }

  @Override
  public void onReady(SelectionKey selected, ByteBuffer readBuffer) throws IOException {
    if (selected.isReadable()) {
      channel.read(readBuffer, this::onFrame);
    }
    if (selected.isValid() && selected.isWritable()) {
      channel.flush();
    }
  }

  /**
   * Sends an acknowledgement if one is due, and closes the connection if the handshake timed out.
   *
   * @return false once the connection is closed
   */
  public boolean checkDeadlines() {
    try {
      if (sender == null && handshakeDeadline.isReached(clock)) {
        fail("handshake timed out");
      } else if (acknowledgementDue
          && nextAcknowledgement.isReached(clock)
          && channel.isFlushed()) {
        acknowledgementDue = false;
        nextAcknowledgement = Deadline.after(clock, settings.acknowledgementInterval());
        channel.write(ByteBuffer.allocate(Integer.BYTES).putInt(ACKNOWLEDGEMENT_BODY_BYTES).flip());
      }
    } catch (IOException e) {
      fail(String.valueOf(e.getMessage()));
    }
    return !closed;
  }

  /**
   * Returns the authenticated sender.
   *
   * @return the VM, or null before the handshake is complete
   */
  public @Nullable VmId sender() {
    return sender;
  }

  private void onFrame(byte[] body) throws IOException {
    VmId authenticatedSender = sender;
    if (authenticatedSender != null) {
      acknowledgementDue = true;
      onMessage(authenticatedSender, body);
    } else if (hello == null) {
      Hello receivedHello = Handshake.decode(body, Hello.class);
      Challenge reply = handshake.createChallenge(receivedHello);
      hello = receivedHello;
      challenge = reply;
      channel.write(Handshake.encode(reply));
    } else {
      verifyPeer(hello, body);
    }
  }

  private void verifyPeer(Hello receivedHello, byte[] body) throws IOException {
    Challenge sentChallenge = challenge;
    if (sentChallenge == null) {
      throw new IOException("proof received before the challenge was sent");
    }
    handshake.verifyProof(receivedHello, sentChallenge, Handshake.decode(body, Proof.class));
    VmId peer = new VmId(receivedHello.sender());
    sender = peer;
    channel.setMaximumFrameBytes(MessageRegistry.MAXIMUM_FRAME_BYTES);
    listener.onAuthenticated(this, peer, SocketEndpoint.parse(receivedHello.endpoint()));
  }

  private void onMessage(VmId from, byte[] body) {
    DecodeResult result = registry.decode(body);
    if (result instanceof DecodeResult.Message decodedMessage) {
      traffic.recordReceived(decodedMessage.metricLabel(), Integer.BYTES + body.length);
      enqueue(from, new ReceivedMessage(decodedMessage.message(), body.length));
    } else if (result instanceof DecodeResult.UnknownType) {
      traffic.recordReceived("unknown_type", Integer.BYTES + body.length);
    } else if (result instanceof DecodeResult.Malformed malformed) {
      traffic.recordDropped("malformed", 1);
      eventLog.record(
          EventLog.Level.WARNING,
          "peer_message_malformed",
          LogField.of("peer", from),
          LogField.of("detail", malformed.detail()));
    }
  }

  private void enqueue(VmId from, ReceivedMessage message) {
    int queued = receivedCount.incrementAndGet();
    if (queued > settings.receivedMessageCapacity() || !receiveBudget.tryReserve(message.bytes())) {
      receivedCount.decrementAndGet();
      traffic.recordDropped("workers_busy", 1);
      return;
    }
    received.add(message);
    if (queued == 1) {
      workers.resume(() -> handleBatch(from));
    }
  }

  private void handleBatch(VmId from) {
    int handled = 0;
    ReceivedMessage message;
    try {
      while (handled < MAXIMUM_MESSAGES_PER_TASK && (message = received.poll()) != null) {
        handled++;
        receiveBudget.release(message.bytes());
        dispatcher.dispatch(from, message.message());
      }
    } finally {
      // The count reaches zero only here, so at most one task per peer exists at any time.
      if (receivedCount.addAndGet(-handled) > 0) {
        workers.resume(() -> handleBatch(from));
      }
    }
  }

  @Override
  public void fail(String cause) {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is discarded in any case.
    }
    key.cancel();
    eventLog.record(
        EventLog.Level.DEBUG,
        "peer_connection_closed",
        LogField.of("peer", sender == null ? "unknown" : sender),
        LogField.of("cause", cause));
    listener.onClosed(this);
  }

  /**
   * A message that waits for a worker.
   *
   * @param message the message
   * @param bytes size of its encoding, which it takes of the budget
   */
  private record ReceivedMessage(PeerMessage message, int bytes) {}

  /**
   * Objects shared by all incoming connections.
   *
   * @param settings limits and timeouts
   * @param handshake authenticates connections
   * @param registry message codecs
   * @param dispatcher handles received messages
   * @param workers runs the dispatcher
   * @param clock clock used for deadlines
   * @param eventLog receives malformed messages and closed connections
   * @param traffic counts received and dropped messages
   * @param receiveBudget bound on the messages that are being received or wait for a worker
   */
  public record SharedContext(
      PeerNetworkSettings settings,
      Handshake handshake,
      MessageRegistry registry,
      PeerDispatcher dispatcher,
      WorkerPool workers,
      Clock clock,
      EventLog eventLog,
      TrafficCounters traffic,
      ByteBudget receiveBudget) {}

  /** Receives state changes of a connection, on the I/O thread. */
  public interface Listener {
    /**
     * Called when the other VM is authenticated.
     *
     * @param connection the connection
     * @param peer the other VM
     * @param endpoint address on which it listens
     */
    void onAuthenticated(IncomingPeer connection, VmId peer, SocketEndpoint endpoint);

    /**
     * Called when the connection is closed.
     *
     * @param connection the connection
     */
    void onClosed(IncomingPeer connection);
  }
}
